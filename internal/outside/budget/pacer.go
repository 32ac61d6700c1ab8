package budget

import (
	"math/rand/v2"
	"time"
)

// pacerForgets is how long after its moment a call is forgotten whose caller didn't call Admit
// again; longer than any caller takes.
const pacerForgets = 5 * time.Second

// pacer makes a call wait for a random moment within a window, which is one
// period of the rate where its caller can wait so long.
//
// A change that all daemons see at once (a write that wakes every watch, a lost data centre that
// changes every status) would make them call at the same moment, whatever their buckets hold.
// Uniform delays over one period spread N calls to the fleet's planned rate.
type pacer struct {
	waiting bool
	since   time.Time // of the call that waits
	at      time.Time // its moment, or when Admit is to be called again
}

// delay returns the moment to wait for, and whether the call must still wait.
func (p *pacer) delay(now time.Time, window time.Duration, random *rand.Rand) (time.Time, bool) {
	if p.waiting && now.Sub(p.at) > pacerForgets {
		p.waiting = false
	}
	if !p.waiting {
		p.waiting = true
		p.since = now
		p.at = now.Add(time.Duration(random.Float64() * float64(window)))
	}
	return p.at, now.Before(p.at)
}

// waited is how long the call has waited.
func (p *pacer) waited(now time.Time) time.Duration { return now.Sub(p.since) }

// putOff records that the call is to be asked for again at a later moment.
func (p *pacer) putOff(at time.Time) { p.at = at }

// done forgets the call that waits.
func (p *pacer) done() { p.waiting = false }
