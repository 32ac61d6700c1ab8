package budget

import (
	"math/rand/v2"
	"time"
)

const (
	// minCapacity lets a call of each class but the lease's go at once after a
	// quiet time, and a lease's two, in fleets so large that a share is below
	// one call a second. In a wave of one instant it bounds what a daemon sends.
	minCapacity = 2.25
	// capacityPhase is the greatest random addition to the least capacity.
	// Without it daemons that emptied full buckets in the same instant would
	// all gain their next token in the same instant, again and again.
	capacityPhase = 1.0
	// capacityTime is the share that may be saved up in small fleets.
	capacityTime = 250 * time.Millisecond
	// starvesAfter is how long a configuration call waits before it goes ahead
	// of intents: a template must be in force within 15 s.
	starvesAfter = 4 * time.Second
)

// reserve is what a class leaves in the bucket: tokens, or a share of the
// capacity where that is more.
type reserve struct {
	tokens float64
	share  float64
}

// Every class but the lease's leaves at least one call. The steps between the
// others put them in order when tokens are gained one by one.
var reserves = [classes]reserve{
	Lease:         {},
	Intent:        {tokens: 1.1, share: 0.1},
	Configuration: {tokens: 1.2, share: 0.25},
	Status:        {tokens: 1.25, share: 0.5},
}

// starvedReserve is of a configuration call that has waited for starvesAfter.
var starvedReserve = reserve{tokens: 1}

// lane is the budget of one kind of call.
type lane struct {
	bucket      bucket
	pacers      [classes]pacer
	pausedUntil time.Time // the API asked to wait
	phase       float64   // of capacityPhase
}

// admit decides on a call and takes its token when it is allowed.
func (l *lane) admit(now time.Time, c Class, random *rand.Rand) Decision {
	if now.Before(l.pausedUntil) {
		return waitUntil(l.pausedUntil, RateLimited)
	}
	p := &l.pacers[c]
	if c.paced() {
		if at, wait := p.delay(now, l.bucket.rate, random); wait {
			return waitUntil(at, Spreading)
		}
	}
	l.bucket.fill(now)
	need := l.need(now, c)
	if l.bucket.level < need {
		at := l.bucket.reaches(need)
		p.putOff(at)
		return waitUntil(at, OverBudget)
	}
	l.bucket.level--
	p.done()
	return Decision{Action: Allowed}
}

// need is the level at which a call of the class may go.
func (l *lane) need(now time.Time, c Class) float64 {
	r := reserves[c]
	if c == Configuration && l.pacers[c].waited(now) > starvesAfter {
		r = starvedReserve
	}
	return 1 + max(r.tokens, r.share*l.bucket.capacity)
}

// pause holds calls back for as long as the API asked, and half as long again
// at random.
func (l *lane) pause(now time.Time, after time.Duration, random *rand.Rand) {
	l.pausedUntil = now.Add(after + time.Duration(random.Float64()*float64(after)/2))
}

// restart empties the bucket to a random level, so that daemons which start
// together reach their first token at moments spread over a whole period.
func (l *lane) restart(now time.Time, random *rand.Rand) {
	l.bucket.drain(now, random.Float64())
}

func (l *lane) resize(now time.Time, rate float64) {
	l.bucket.resize(now, rate, max(minCapacity+l.phase, rate*capacityTime.Seconds()))
}
