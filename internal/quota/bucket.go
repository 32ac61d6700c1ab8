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
	// The others' spending is known late. Meanwhile it is taken to go on as it
	// was: predicted is what that makes since it was told last. Failure:
	// several daemons let a workspace in that asks for many times its limit,
	// each by a level that lacks what the others let in since. Symptom: the
	// limit is exceeded by the whole demand of that time.
	othersRate float64 // a second
	predicted  float64
	told       time.Time // when others' spending was told last
	// share is the part of the rate that fills the bucket until something is
	// told. Failure: a whole fleet starts again, and for a second no daemon
	// knows of the others. Symptom: each lets in the whole rate.
	share float64
}

// NewBucket returns a bucket at now with a level: burst where the whole system
// starts for the first time. grace is what may be let in beyond it.
func NewBucket(now time.Time, rate, burst, level, grace float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: min(level, burst), grace: grace, at: now, share: 1}
}

// SetLimit takes a changed limit. A smaller burst binds at once.
func (b *Bucket) SetLimit(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Others takes what all other daemons have spent since it was told last.
func (b *Bucket) Others(now time.Time, spent float64) {
	b.fill(now)
	b.level -= spent
	b.predicted = 0
	if d := now.Sub(b.told); !b.told.IsZero() && d > 0 {
		weight := 1 - math.Exp(-d.Seconds()/rateSeconds)
		b.othersRate += (spent/d.Seconds() - b.othersRate) * weight
	}
	b.told = now
}

// Take lets a request of a cost in, or says after how long it could be. Half
// of the cost must be there, the rest is left as a debt: were its whole cost
// asked for, the largest requests would hardly ever be let in; were none, the
// small ones would be refused for the large ones' debts.
func (b *Bucket) Take(now time.Time, cost float64) (wait time.Duration, ok bool) {
	b.fill(now)
	need := min(b.asks(cost), b.burst)
	if b.rate <= 0 || b.left() >= need {
		b.level -= cost
		return 0, true
	}
	seconds := (need - b.left()) / b.fillRate()
	return time.Duration(math.Min(seconds, maxWaitSeconds) * float64(time.Second)), false
}

// GiveBack returns the cost of a request that was not run.
func (b *Bucket) GiveBack(cost float64) { b.level = min(b.level+cost, b.burst) }

// asks returns what must be there for a cost. A daemon that fills the bucket
// with its part alone leaves no debt: the others don't know of it, and those of
// a whole fleet add up.
func (b *Bucket) asks(cost float64) float64 {
	if b.told.IsZero() && b.share < 1 {
		return cost
	}
	return debtShare * cost
}

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

// left returns what can be let in now.
func (b *Bucket) left() float64 { return b.level + b.grace - b.predicted }

// fillRate returns the rate at which the bucket fills now.
func (b *Bucket) fillRate() float64 {
	if b.told.IsZero() {
		return b.rate * b.share
	}
	return b.rate
}

func (b *Bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.level = min(b.level+b.fillRate()*d.Seconds(), b.burst)
		if now.Sub(b.told) < predictFor {
			b.predicted += b.othersRate * d.Seconds()
		}
	}
	b.at = now
}

const (
	// rateSeconds is the time constant of the others' smoothed spending.
	rateSeconds = 1.0
	// predictFor bounds the prediction: with nothing told for so long this
	// daemon is cut off from the others or they are gone. It is the length of
	// the window over which limits are judged.
	predictFor = 8 * time.Second
)
