package membership

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// dataCentre is the state of a data centre as a whole.
type dataCentre struct {
	name         fleet.DataCentre
	region       fleet.Region
	version      uint64        // odd if lost
	lastPacketAt time.Duration // from any of its members
	lostAt       time.Duration
	queueState   queueState
	lossApplied  bool // the members' own states were set to Dead

	claimedVersion uint64 // version of a reported loss that is being verified, or 0
	verifyFrom     time.Duration
	verifyUntil    time.Duration
	verifyReceived uint64 // Membership.received when the verification began
	nextVerify     time.Duration
}

func (d *dataCentre) lost() bool { return d.version%2 == 1 }

func (d *dataCentre) verifying() bool { return d.claimedVersion != 0 }

// update returns the update to send. A loss that is still being verified is
// included, since each receiver verifies it for itself; not for other regions,
// whose daemons cannot verify it.
func (d *dataCentre) update(otherRegion bool) DataCentreUpdate {
	version := d.version
	if !otherRegion {
		version = max(version, d.claimedVersion)
	}
	return DataCentreUpdate{DataCentre: d.name, Region: d.region, Version: version}
}
