package membership

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// dataCentre is what is known of a data centre as a whole.
type dataCentre struct {
	name         fleet.DataCentre
	region       fleet.Region
	version      uint64 // odd: lost
	lastPacketAt time.Duration
	lostAt       time.Duration
	queueState   queueState
	lossApplied  bool // the loss was written into the members' records

	claimedVersion uint64 // version of a loss that is being verified, or 0
	verifyFrom     time.Duration
	verifyUntil    time.Duration
	verifyReceived uint64 // packets received when it began
	nextVerify     time.Duration
}

func (d *dataCentre) lost() bool { return d.version%2 == 1 }

func (d *dataCentre) verifying() bool { return d.claimedVersion != 0 }

// update returns the statement that others are told. A claim that is being
// verified is passed on at once, for the receivers verify it for themselves;
// not to other regions, which cannot.
func (d *dataCentre) update(otherRegion bool) DataCentreUpdate {
	version := d.version
	if !otherRegion {
		version = max(version, d.claimedVersion)
	}
	return DataCentreUpdate{DataCentre: d.name, Region: d.region, Version: version}
}
