package exchange

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

const (
	// minSpeedCacheAge is how long a computed sum of observations is reused, in which it decays
	// by a twentieth. It is longer than for loads, since the sum takes a hub of 986 daemons 8 ms.
	minSpeedCacheAge = 250 * time.Millisecond
	// speedCacheShare is the part of the time between two replies to a daemon for which a sum is
	// reused where that is longer.
	speedCacheShare = 16
)

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
