package quota

import (
	"math"
	"time"
)

// Bucket is the common bucket of one workspace as this daemon sees it. Amounts
// are in the workspace's unit, tokens or requests.
type Bucket struct {
	rate, burst float64
	grace       float64 // how far below zero a request may start
	level       float64
	at          time.Time // of level
	others      float64   // spending of all others that is taken into account
	known       bool      // others was told once
}

// NewBucket returns a bucket at now with a level: burst where the whole system
// starts for the first time. grace is what may be let in beyond it.
func NewBucket(now time.Time, rate, burst, level, grace float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: min(level, burst), grace: grace, at: now}
}

// SetLimit takes a changed limit. A smaller burst binds at once.
func (b *Bucket) SetLimit(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Others takes the sum of what all other daemons have spent since they
// started. The first sum, and one whose base isn't the same as before, is only
// the base for the next ones; so is a sum that shrank.
func (b *Bucket) Others(now time.Time, total float64, same bool) {
	b.fill(now)
	if b.known && same && total > b.others {
		b.level -= total - b.others
	}
	b.others, b.known = total, true
}

// Take lets a request of a cost in, or says after how long it could be. Half
// of the cost must be there, the rest is left as a debt: were its whole cost
// asked for, the largest requests would hardly ever be let in; were none, the
// small ones would be refused for the large ones' debts.
func (b *Bucket) Take(now time.Time, cost float64) (wait time.Duration, ok bool) {
	b.fill(now)
	need := min(debtShare*cost, b.burst)
	if b.rate <= 0 || b.level+b.grace >= need {
		b.level -= cost
		return 0, true
	}
	seconds := (need - b.level - b.grace) / b.rate
	return time.Duration(math.Min(seconds, maxWaitSeconds) * float64(time.Second)), false
}

// GiveBack returns the cost of a request that was not run.
func (b *Bucket) GiveBack(cost float64) { b.level = min(b.level+cost, b.burst) }

// Adopt takes the level of a daemon that has kept it for longer.
func (b *Bucket) Adopt(now time.Time, level float64) {
	b.fill(now)
	b.level = min(level, b.burst)
}

// Level returns what could be spent now.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}

// debtShare is the part of a request's cost that must be there.
const debtShare = 0.5

// maxWaitSeconds bounds the wait that a refused caller is told: a limit may
// be raised any time, and no deadline of a request is longer.
const maxWaitSeconds = 15

func (b *Bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.level+b.rate*d.Seconds(), b.burst)
	}
	b.at = now
}
