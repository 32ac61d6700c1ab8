package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bucket is the common bucket of one workspace as this daemon sees it. Amounts
// are in the workspace's unit, tokens or requests.
//
// While much is left in it, requests are let in as they come. Where little is
// left, each daemon lets in at its own share of the rate, by a small bucket of
// its own: by the common level, which each sees as of some hundred milliseconds
// ago, all would open and close together.
type Bucket struct {
	rate, burst float64
	grace       float64 // how far below zero a request may start
	level       float64
	at          time.Time // of level
	own         float64   // level of this daemon's own bucket
	fleet       Fleet
	// The others' spending is known late. Meanwhile it is taken to go on as it
	// was: predicted is what that makes since it was told last.
	predicted  float64
	othersRate float64 // a second, smoothed
	ownRate    float64 // a second, smoothed
	spent      float64 // by this daemon since told
	told       time.Time
	refused    time.Time     // when this daemon last did
	untold     bool          // nothing was told yet
	restored   bool          // what was kept says what the others spent
	presumed   presumed      // of the time before the start
	interval   time.Duration // until it is told next
	meanCost   float64       // of what was asked for here, smoothed; zero: nothing was
	tolerated  float64       // beyond the limit in the window in which it is judged
	random     *rand.Rand
}

// Fleet is what a daemon knows of those who share a limit.
type Fleet struct {
	// Daemons is how many there are or were lately, cut off or not.
	Daemons int
	// Part is the part of the rate that this daemon and those who hear of each
	// other may let in together: the rest belongs to daemons that may be cut off.
	Part float64
}

// NewBucket returns a bucket at now with a level: burst where the whole system
// starts for the first time. grace is what may be let in beyond it.
func NewBucket(now time.Time, rate, burst, level, grace float64) *Bucket {
	return &Bucket{
		rate: rate, burst: burst, level: min(level, burst), grace: grace, at: now,
		told: now, untold: true, interval: startInterval, fleet: Fleet{Daemons: 1, Part: 1},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// SetFleet takes a changed fleet. A side that hears of fewer may use its part of
// what is left; one that hears of more takes those to spend their part, until it
// is told.
func (b *Bucket) SetFleet(now time.Time, f Fleet) {
	b.fill(now)
	old := b.fleet
	b.fleet = f
	if f.Part < old.Part {
		b.lose(f.Part / old.Part)
		return
	}
	b.othersRate += (f.Part - old.Part) * b.rate
}

// lose leaves this side its part of the level, less its part of what daemons that
// are not heard any more may have spent since they were.
func (b *Bucket) lose(left float64) {
	spending := min(b.othersRate+b.ownRate, b.rate)
	b.level = left * (b.level - (1-left)*spending*noticeSeconds)
}

// setInterval takes how long it is until this daemon is told again.
func (b *Bucket) setInterval(now time.Time, d time.Duration) {
	b.fill(now)
	b.interval = d
}

// short reports whether so little is left that the others' spending must be
// heard of soon.
func (b *Bucket) short(now time.Time) bool {
	if b.rate <= 0 {
		return false
	}
	b.fill(now)
	return b.left() < shortShare*b.burst
}

// SetLimit takes a changed limit. A smaller burst binds at once.
func (b *Bucket) SetLimit(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Others takes what all other daemons have spent since it was told last. What
// was spent in a silence counts in part: the level stood still meanwhile.
func (b *Bucket) Others(now time.Time, spent float64) {
	b.fill(now)
	d := now.Sub(b.told)
	b.level = min(b.level-spent*Heard(d, b.interval), b.burst)
	switch {
	case d <= 0:
	case !b.untold:
		b.learn(spent/d.Seconds(), b.spent/d.Seconds(), 1-math.Exp(-d.Seconds()/rateSeconds))
	case b.restored:
		b.learn(spent/d.Seconds(), b.spent/d.Seconds(), 1)
	}
	b.heard(now)
}

// learn takes what the others and this daemon have spent a second, with a weight against
// what was known before.
func (b *Bucket) learn(others, own, weight float64) {
	b.othersRate += (others - b.othersRate) * weight
	b.ownRate += (own - b.ownRate) * weight
}

// Hear notes that the others are heard, though not what they have spent: a hub
// that is new begins with nothing. They are taken to have spent as before.
func (b *Bucket) Hear(now time.Time) {
	b.fill(now)
	b.level -= b.predicted
	b.heard(now)
}

func (b *Bucket) heard(now time.Time) {
	b.predicted, b.spent = 0, 0
	b.told, b.untold = now, false
}

// Heard returns the part of a silence for which the level is filled as if the
// silent side were heard, where reports come at an interval.
func Heard(silence, interval time.Duration) float64 {
	after := silentAfter(interval)
	if silence <= after {
		return 1
	}
	return after.Seconds() / silence.Seconds()
}

// silentAfter is how long after it was told last a daemon counts on no more than
// its own share, where it should be told at an interval: one report may be late
// by half of that, and an answer by answerSlack.
func silentAfter(interval time.Duration) time.Duration { return interval*3/2 + answerSlack }

// Take lets a request of a cost in, or says after how long it could be.
func (b *Bucket) Take(now time.Time, cost float64) (wait time.Duration, ok bool) {
	b.fill(now)
	b.asked(cost)
	if b.rate <= 0 || b.plenty(cost) {
		b.spend(cost)
		return 0, true
	}
	if b.fleet.Daemons == 1 {
		return waitFor((b.needs(cost) - b.left()) / b.rate), false
	}
	if b.sparse() {
		return b.draw(cost)
	}
	need := min(b.asks(cost), b.depth())
	if b.own < need {
		b.refused = now
		return waitFor((need - b.own) / b.ownFill()), false
	}
	b.own -= cost
	b.spend(cost)
	return 0, true
}

// asked notes the cost of a request.
func (b *Bucket) asked(cost float64) {
	if b.meanCost == 0 {
		b.meanCost = cost
		return
	}
	b.meanCost += (cost - b.meanCost) * costWeight
}

// sparse reports whether this daemon saves for a request for many seconds, since its
// share of the limit is a small part of one, and the fleet is so large that a request of
// each daemon's, let in as a debt, is more than is tolerated.
func (b *Bucket) sparse() bool {
	debts := float64(b.fleet.Daemons) * b.meanCost
	return b.fleet.Daemons > 1 && debts > b.tolerated && !b.alone() && b.meanCost > sparseSeconds*b.rate*b.share()
}

// draw lets a request in by chance, so that of all daemons as many do as their savings
// make whole requests. Large requests have the same chance as small ones.
func (b *Bucket) draw(cost float64) (wait time.Duration, ok bool) {
	if b.random.Float64()*b.meanCost >= b.own {
		b.refused = b.at
		return waitFor((b.meanCost - b.own) / b.ownFill()), false
	}
	b.own -= cost
	b.spend(cost)
	return 0, true
}

// plenty reports whether a cost can be let in whatever the others do.
func (b *Bucket) plenty(cost float64) bool {
	if b.alone() {
		return false
	}
	return b.left() >= b.needs(cost)+b.reserve()
}

// needs returns what must be left for a cost. Half of it must be there, the
// rest is left as a debt: were its whole cost asked for, the largest requests
// would hardly ever be let in; were none, the small ones would be refused for
// the large ones' debts.
func (b *Bucket) needs(cost float64) float64 { return min(debtShare*cost, b.burst) }

// asks returns what the own bucket must hold for a cost. A daemon that isn't
// told what the others spend leaves no debt: they don't know of it, and those of
// a whole fleet add up.
func (b *Bucket) asks(cost float64) float64 {
	if b.alone() {
		return cost
	}
	return debtShare * cost
}

func (b *Bucket) spend(cost float64) {
	b.spent += cost
	if !b.alone() {
		b.level -= cost
	}
}

// owe takes the debt that is presumed of the time before the start, when it is due.
func (b *Bucket) owe(now time.Time, cost float64) float64 {
	debt := b.presumed.ask(now, cost)
	if debt > 0 {
		b.fill(now)
		b.spent += debt
		b.level -= debt
	}
	return debt
}

// GiveBack returns the cost of a request that was not run.
func (b *Bucket) GiveBack(cost float64) {
	b.level = min(b.level+cost, b.burst)
	b.spent -= cost
}

// Adopt takes the level of a daemon that has kept it for longer.
func (b *Bucket) Adopt(now time.Time, level float64) {
	b.fill(now)
	b.level = min(level, b.burst)
	b.refused = time.Time{}
	b.presumed = presumed{}
}

// Level returns what could be spent now.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}

// left returns what can be let in now.
func (b *Bucket) left() float64 { return b.level + b.grace - b.predicted }

// reserve is what is shared out rather than let in as it comes. A limit that is in
// force stays shared out until most of it is back: the demand beyond it is still
// there, and would use it up once more before all daemons have heard of each other.
func (b *Bucket) reserve() float64 {
	if b.fleet.Daemons == 1 {
		return 0
	}
	if b.at.Sub(b.refused) < forceTime {
		return forceShare * b.burst
	}
	return min(reserveSeconds*b.rate, reserveShare*b.burst)
}

// alone reports whether this daemon isn't told what the others spend.
func (b *Bucket) alone() bool {
	switch {
	case b.fleet.Daemons == 1:
		return false
	case b.untold: // the level is the start's until it is used up
		return b.level <= 0
	default:
		return b.at.Sub(b.told) >= silentAfter(b.interval)
	}
}

// share returns this daemon's part of what its side may let in: by what it let
// in lately, and partly the same for all, so that demand may move. A daemon that
// isn't told has an even share: it knows its own jump of demand and not the
// others', so that by what was let in each would take the largest part.
func (b *Bucket) share() float64 {
	if b.alone() {
		return 1 / float64(b.fleet.Daemons)
	}
	n := max(float64(b.fleet.Daemons)*b.fleet.Part, 1)
	even := evenShare * b.rate / n
	return (b.ownRate + even) / (b.ownRate + b.othersRate + evenShare*b.rate)
}

// ownFill returns the rate at which the own bucket fills: above this daemon's
// share of the limit while the common level is above zero, and below it while
// that is in debt.
func (b *Bucket) ownFill() float64 {
	if b.alone() {
		return b.rate * b.share()
	}
	factor := 1 + b.left()/(b.correction()*b.rate)
	return b.rate * b.fleet.Part * b.share() * min(max(factor, leastFactor), mostFactor)
}

// correction returns the seconds in which a difference of the common level from zero is
// made up for.
func (b *Bucket) correction() float64 {
	return max(correctSeconds, correctReports*b.interval.Seconds())
}

// depth bounds the own bucket. A daemon that leaves no debt must be able to
// save for the largest request.
func (b *Bucket) depth() float64 {
	if b.alone() {
		return b.burst
	}
	depth := depthSeconds * b.rate * b.share()
	if b.sparse() && b.left() < b.reserve() {
		return max(depth, b.meanCost)
	}
	return depth
}

func (b *Bucket) fill(now time.Time) {
	if !now.After(b.at) {
		return
	}
	silent := b.told.Add(silentAfter(b.interval))
	if b.at.Before(silent) && now.After(silent) {
		b.advance(silent)
	}
	b.advance(now)
}

// advance fills the bucket up to a time in which its rates don't change.
func (b *Bucket) advance(now time.Time) {
	d := now.Sub(b.at).Seconds()
	// What a larger share has saved is let go: all daemons would spend it at once.
	b.own = min(b.own+b.ownFill()*d, b.depth())
	if !b.alone() {
		b.level = min(b.level+b.rate*b.fleet.Part*d, max(b.burst*b.fleet.Part, b.level))
		b.predicted += b.othersRate * d
	}
	b.at = now
}

func waitFor(seconds float64) time.Duration {
	return time.Duration(math.Min(seconds, maxWaitSeconds) * float64(time.Second))
}

const (
	// debtShare is the part of a request's cost that must be there.
	debtShare = 0.5
	// maxWaitSeconds bounds the wait that a refused caller is told: a limit may
	// be raised any time, and no deadline of a request is longer.
	maxWaitSeconds = 15
	// rateSeconds is the time constant of smoothed spending.
	rateSeconds = 1.0
	// answerSlack is for an answer that is late, and for a hub that has died: its
	// call ends after some hundred milliseconds.
	answerSlack = 250 * time.Millisecond
	// startInterval is taken for the interval of reports until it is known.
	startInterval = 400 * time.Millisecond
	// shortShare is the part of the burst below which a workspace's limit is
	// short: it is used up within a report or two by a demand of several times it.
	shortShare = 0.5
	// noticeSeconds is about how long a daemon has been silent when it isn't
	// counted any more.
	noticeSeconds = 1.5
	// reserveSeconds of the rate, and at most reserveShare of the burst, are
	// shared out: about what is let in before all daemons have heard of it.
	reserveSeconds = 0.3
	reserveShare   = 0.25
	// forceTime is how long a limit is taken to be in force after a refusal, and
	// forceShare the part of the burst that is shared out meanwhile.
	forceTime  = 2 * time.Second
	forceShare = 0.75
	// depthSeconds is how much of its share a daemon may have saved: some
	// reports long.
	depthSeconds = 0.5
	// sparseSeconds of its share are less than a request where a daemon lets requests in
	// by chance.
	sparseSeconds = 5.0
	// costWeight is the weight of the newest request in the mean cost.
	costWeight = 0.1
	// correctSeconds is the time in which a difference of the common level from
	// zero is made up for: several reports long, or it swings.
	correctSeconds = 1.0
	// correctReports is how many reports long that is at least.
	correctReports = 2.5
	// leastFactor and mostFactor bound that correction.
	leastFactor = 0.05
	mostFactor  = 2
	// evenShare is the weight of equal shares against what was let in lately.
	evenShare = 0.5
)
