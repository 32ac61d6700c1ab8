package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

// maxSpeedCacheAge is how long a computed sum of observations is reused. It is longer than for
// loads, since observations change by a twentieth in it.
const maxSpeedCacheAge = 250 * time.Millisecond

// speedTotal is the sum of all daemons' observations of endpoints' speeds at one time.
type speedTotal struct {
	at  time.Time
	all speed.Observations
	// encoded is the encoded form of all, nil before its first use.
	encoded *exchangepb.Speeds
	// byDaemon is the daemons' parts as they were added.
	byDaemon map[fleet.DaemonID]agedSpeeds
}

// agedSpeeds is a daemon's observations and their age at the time of a sum.
type agedSpeeds struct {
	observed speed.Observations
	age      time.Duration
}

// speedsFor returns the total for the reply to one daemon.
func (t *speedTotal) speedsFor(id fleet.DaemonID) *Speeds {
	if t.encoded == nil {
		t.encoded = encodeSpeeds(t.all)
	}
	own := t.byDaemon[id]
	return &Speeds{All: t.all, Own: own.observed.Aged(own.age), encoded: t.encoded}
}
