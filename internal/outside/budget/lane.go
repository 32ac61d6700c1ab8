package budget

import (
	"math/rand/v2"
	"time"
)

const (
	// minCapacity lets a call of each class but the lease's go at once after a
	// quiet time, and a lease's two, in fleets so large that a share is below
	// one call a second. It bounds what a daemon sends at one moment.
	minCapacity = 2.25
	// capacityPhase is the greatest random addition to the least capacity.
	// Without it daemons that emptied full buckets in the same instant would
	// all gain their next token in the same instant, again and again.
	capacityPhase = 1.0
	// capacityTime is the share that may be saved up in small fleets.
	capacityTime = 250 * time.Millisecond
	// longestSpread bounds the random wait of a call that a caller waits for: an intent has 2 s
	// in all, and an operator waits for a change.
	longestSpread = 1200 * time.Millisecond
	// starvesAfter is how long a configuration call waits until it has priority over
	// intents: a template must be in force within 15 s.
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

// lane is the budget of one kind of call: this daemon's common share, and the
// parts of its roles, which are empty for kinds other than writes.
type lane struct {
	bucket      bucket
	parts       [roles]bucket
	pacers      [classes]pacer
	pausedUntil time.Time // the API asked to wait
	phase       float64   // of capacityPhase
	writers     bool      // the fleet has writers of the ledger, so that intents elsewhere are the exception
	lost        bool      // the last write lost its condition
}

// admit decides on a call and takes its token when it is allowed.
func (l *lane) admit(now time.Time, c Class, random *rand.Rand) Decision {
	if now.Before(l.pausedUntil) {
		return waitUntil(l.pausedUntil, RateLimited)
	}
	p := &l.pacers[c]
	if window := l.window(c); window > 0 {
		if at, wait := p.delay(now, window, random); wait {
			return waitUntil(at, Spreading)
		}
	}
	partAt, ok := l.parts[c.role()].take(now, l.partNeed(c))
	if ok {
		l.lost = l.lost && c != Intent
		p.done()
		return Decision{Action: Allowed}
	}
	at, ok := l.bucket.take(now, l.need(now, c))
	if ok {
		p.done()
		return Decision{Action: Allowed}
	}
	if !partAt.IsZero() {
		at = earlier(at, partAt)
	}
	p.putOff(at)
	return waitUntil(at, OverBudget)
}

// partNeed is the level of its part at which a call of the class may go. An
// intent whose write lost its condition goes again on credit.
//
// Otherwise, if two daemons write one shard as fast as they may, one conflicts, reads the current
// version and waits for its next token, while the other writes again: it would conflict each time,
// and its orders would be refused. A write right after the loss conflicts only if the other writes within one
// call of the store, so one on credit is enough.
func (l *lane) partNeed(c Class) float64 {
	if c == Intent && l.lost {
		return 0
	}
	return 1 + partReserves[c]
}

// window is the time over which calls of the class are spread at random, 0 for
// those that are made at once. Intents are made at once by their writer's part.
func (l *lane) window(c Class) time.Duration {
	part := l.parts[c.role()].rate
	if c == Lease || c == Intent && (part > 0 || !l.writers) {
		return 0
	}
	period := time.Duration(float64(time.Second) / (l.bucket.rate + part))
	if c == Status {
		return period
	}
	return min(period, longestSpread)
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

// restart empties the buckets to a random level, so that daemons which start
// together reach their first token at moments spread over a whole period.
func (l *lane) restart(now time.Time, random *rand.Rand) {
	l.bucket.drain(now, random.Float64())
	for r := range l.parts {
		l.parts[r].drain(now, random.Float64())
	}
}

func (l *lane) resize(now time.Time, rate float64) {
	l.bucket.resize(now, rate, max(minCapacity+l.phase, rate*capacityTime.Seconds()))
}

// setPart changes the rate of a role's part. A daemon that has just got a role starts with an
// empty part, since its predecessor may have used that already, and waits for up to two tokens, so
// that daemons which get a role at the same time, as after a restart, don't stay in step.
func (l *lane) setPart(now time.Time, r role, rate float64, random *rand.Rand) {
	p := &l.parts[r]
	if p.rate == 0 {
		p.drain(now, -random.Float64())
	}
	p.resize(now, rate, max(partCapacity, rate*capacityTime.Seconds()))
}
