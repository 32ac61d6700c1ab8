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
	levelAt          time.Time // of level
	ownLevel         float64   // level of this daemon's own bucket
	fleet       Fleet
	// The others' spending is known late. Meanwhile it is taken to go on as it
	// was: predictedOthers is what that makes since it was told last.
	predictedOthers  float64
	othersRate float64 // a second, smoothed
	ownRate    float64 // a second, smoothed
	spent      float64 // by this daemon since told
	othersAt       time.Time
	refusedAt    time.Time     // when this daemon last did
	noReportYet     bool          // nothing was told yet
	restored   bool          // what was kept says what the others spent
	restartDebt   restartDebt      // of the time before the start
	reportInterval   time.Duration // until it is told next
	meanCost   float64       // of what was asked for here, smoothed; zero: nothing was
	tolerance  float64       // beyond the limit in the window in which it is judged
	random     *rand.Rand
}

// Fleet is what a daemon knows of those who share a limit.
type Fleet struct {
	// Daemons is how many there are or were lately, cut off or not.
	Daemons int
	// ReachableShare is the part of the rate that this daemon and those who hear of each
	// other may let in together: the rest belongs to daemons that may be cut off.
	ReachableShare float64
}

// NewBucket returns a bucket at now with a level: burst where the whole system
// starts for the first time. grace is what may be let in beyond it.
func NewBucket(now time.Time, rate, burst, level, grace float64) *Bucket {
	return &Bucket{
		rate: rate, burst: burst, level: min(level, burst), grace: grace, levelAt: now,
		othersAt: now, noReportYet: true, reportInterval: initialReportInterval, fleet: Fleet{Daemons: 1, ReachableShare: 1},
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
	if f.ReachableShare < old.ReachableShare {
		b.shrink(f.ReachableShare / old.ReachableShare)
		return
	}
	b.othersRate += (f.ReachableShare - old.ReachableShare) * b.rate
}

// shrink leaves this side its part of the level, less its part of what daemons that
// are not heard any more may have spent since they were.
func (b *Bucket) shrink(left float64) {
	spending := min(b.othersRate+b.ownRate, b.rate)
	b.level = left * (b.level - (1-left)*spending*detectionSeconds)
}

// setReportInterval takes how long it is until this daemon is told again.
func (b *Bucket) setReportInterval(now time.Time, d time.Duration) {
	b.fill(now)
	b.reportInterval = d
}

// nearLimit reports whether so little is left that the others' spending must be
// heard of soon.
func (b *Bucket) nearLimit(now time.Time) bool {
	if b.rate <= 0 {
		return false
	}
	b.fill(now)
	return b.available() < nearLimitShare*b.burst
}

// SetLimit takes a changed limit. A smaller burst binds at once.
func (b *Bucket) SetLimit(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// AddOthers takes what all other daemons have spent since it was told last. What
// was spent in a silence counts in part: the level stood still meanwhile.
func (b *Bucket) AddOthers(now time.Time, spent float64) {
	b.fill(now)
	d := now.Sub(b.othersAt)
	b.level = min(b.level-spent*CountedShare(d, b.reportInterval), b.burst)
	switch {
	case d <= 0:
	case !b.noReportYet:
		b.updateRates(spent/d.Seconds(), b.spent/d.Seconds(), 1-math.Exp(-d.Seconds()/rateSeconds))
	case b.restored:
		b.updateRates(spent/d.Seconds(), b.spent/d.Seconds(), 1)
	}
	b.markUpdated(now)
}

// updateRates takes what the others and this daemon have spent a second, with a weight against
// what was known before.
func (b *Bucket) updateRates(others, own, weight float64) {
	b.othersRate += (others - b.othersRate) * weight
	b.ownRate += (own - b.ownRate) * weight
}

// ApplyPrediction notes that the others are heard, though not what they have spent: a hub
// that is new begins with nothing. They are taken to have spent as before.
func (b *Bucket) ApplyPrediction(now time.Time) {
	b.fill(now)
	b.level -= b.predictedOthers
	b.markUpdated(now)
}

func (b *Bucket) markUpdated(now time.Time) {
	b.predictedOthers, b.spent = 0, 0
	b.othersAt, b.noReportYet = now, false
}

// CountedShare returns the part of a silence for which the level is filled as if the
// silent side were heard, where reports come at an interval.
func CountedShare(silence, interval time.Duration) float64 {
	after := staleAfter(interval)
	if silence <= after {
		return 1
	}
	return after.Seconds() / silence.Seconds()
}

// staleAfter is how long after it was told last a daemon counts on no more than
// its own share, where it should be told at an interval: one report may be late
// by half of that, and an answer by answerSlack.
func staleAfter(interval time.Duration) time.Duration { return interval*3/2 + answerSlack }

// Take lets a request of a cost in, or says after how long it could be.
func (b *Bucket) Take(now time.Time, cost float64) (wait time.Duration, ok bool) {
	b.fill(now)
	b.observeCost(cost)
	if b.rate <= 0 || b.ample(cost) {
		b.spend(cost)
		return 0, true
	}
	if b.fleet.Daemons == 1 {
		return boundedWait((b.requiredLevel(cost) - b.available()) / b.rate), false
	}
	if b.sparse() {
		return b.admitByChance(cost)
	}
	need := min(b.requiredOwnLevel(cost), b.depth())
	if b.ownLevel < need {
		b.refusedAt = now
		return boundedWait((need - b.ownLevel) / b.ownFill()), false
	}
	b.ownLevel -= cost
	b.spend(cost)
	return 0, true
}

// observeCost notes the cost of a request.
func (b *Bucket) observeCost(cost float64) {
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
	return b.fleet.Daemons > 1 && debts > b.tolerance && !b.stale() && b.meanCost > sparseSeconds*b.rate*b.share()
}

// admitByChance lets a request in by chance, so that of all daemons as many do as their savings
// make whole requests. Large requests have the same chance as small ones.
func (b *Bucket) admitByChance(cost float64) (wait time.Duration, ok bool) {
	if b.random.Float64()*b.meanCost >= b.ownLevel {
		b.refusedAt = b.levelAt
		return boundedWait((b.meanCost - b.ownLevel) / b.ownFill()), false
	}
	b.ownLevel -= cost
	b.spend(cost)
	return 0, true
}

// ample reports whether a cost can be let in whatever the others do.
func (b *Bucket) ample(cost float64) bool {
	if b.stale() {
		return false
	}
	return b.available() >= b.requiredLevel(cost)+b.reserve()
}

// requiredLevel returns what must be left for a cost. Half of it must be there, the
// rest is left as a debt: were its whole cost asked for, the largest requests
// would hardly ever be let in; were none, the small ones would be refused for
// the large ones' debts.
func (b *Bucket) requiredLevel(cost float64) float64 { return min(debtShare*cost, b.burst) }

// requiredOwnLevel returns what the own bucket must hold for a cost. A daemon that isn't
// told what the others spend leaves no debt: they don't know of it, and those of
// a whole fleet add up.
func (b *Bucket) requiredOwnLevel(cost float64) float64 {
	if b.stale() {
		return cost
	}
	return debtShare * cost
}

func (b *Bucket) spend(cost float64) {
	b.spent += cost
	if !b.stale() {
		b.level -= cost
	}
}

// chargeRestartDebt takes the debt that is presumed of the time before the start, when it is due.
func (b *Bucket) chargeRestartDebt(now time.Time, cost float64) float64 {
	debt := b.restartDebt.add(now, cost)
	if debt > 0 {
		b.fill(now)
		b.spent += debt
		b.level -= debt
	}
	return debt
}

// Refund returns the cost of a request that was not run.
func (b *Bucket) Refund(cost float64) {
	b.level = min(b.level+cost, b.burst)
	b.spent -= cost
}

// Adopt takes the level of a daemon that has kept it for longer.
func (b *Bucket) Adopt(now time.Time, level float64) {
	b.fill(now)
	b.level = min(level, b.burst)
	b.refusedAt = time.Time{}
	b.restartDebt = restartDebt{}
}

// Level returns what could be spent now.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}

// available returns what can be let in now.
func (b *Bucket) available() float64 { return b.level + b.grace - b.predictedOthers }

// reserve is what is shared out rather than let in as it comes. A limit that is in
// force stays shared out until most of it is back: the demand beyond it is still
// there, and would use it up once more before all daemons have heard of each other.
func (b *Bucket) reserve() float64 {
	if b.fleet.Daemons == 1 {
		return 0
	}
	if b.levelAt.Sub(b.refusedAt) < enforcedTime {
		return enforcedReserveShare * b.burst
	}
	return min(reserveSeconds*b.rate, reserveShare*b.burst)
}

// stale reports whether this daemon isn't told what the others spend.
func (b *Bucket) stale() bool {
	switch {
	case b.fleet.Daemons == 1:
		return false
	case b.noReportYet: // the level is the start's until it is used up
		return b.level <= 0
	default:
		return b.levelAt.Sub(b.othersAt) >= staleAfter(b.reportInterval)
	}
}

// share returns this daemon's part of what its side may let in: by what it let
// in lately, and partly the same for all, so that demand may move. A daemon that
// isn't told has an even share: it knows its own jump of demand and not the
// others', so that by what was let in each would take the largest part.
func (b *Bucket) share() float64 {
	if b.stale() {
		return 1 / float64(b.fleet.Daemons)
	}
	n := max(float64(b.fleet.Daemons)*b.fleet.ReachableShare, 1)
	even := evenShareWeight * b.rate / n
	return (b.ownRate + even) / (b.ownRate + b.othersRate + evenShareWeight*b.rate)
}

// ownFill returns the rate at which the own bucket fills: above this daemon's
// share of the limit while the common level is above zero, and below it while
// that is in debt.
func (b *Bucket) ownFill() float64 {
	if b.stale() {
		return b.rate * b.share()
	}
	factor := 1 + b.available()/(b.correctionSeconds()*b.rate)
	return b.rate * b.fleet.ReachableShare * b.share() * min(max(factor, minFillFactor), maxFillFactor)
}

// correctionSeconds returns the seconds in which a difference of the common level from zero is
// made up for.
func (b *Bucket) correctionSeconds() float64 {
	return max(minCorrectionSeconds, minCorrectionReports*b.reportInterval.Seconds())
}

// depth bounds the own bucket. A daemon that leaves no debt must be able to
// save for the largest request.
func (b *Bucket) depth() float64 {
	if b.stale() {
		return b.burst
	}
	depth := depthSeconds * b.rate * b.share()
	if b.sparse() && b.available() < b.reserve() {
		return max(depth, b.meanCost)
	}
	return depth
}

func (b *Bucket) fill(now time.Time) {
	if !now.After(b.levelAt) {
		return
	}
	silent := b.othersAt.Add(staleAfter(b.reportInterval))
	if b.levelAt.Before(silent) && now.After(silent) {
		b.advance(silent)
	}
	b.advance(now)
}

// advance fills the bucket up to a time in which its rates don't change.
func (b *Bucket) advance(now time.Time) {
	d := now.Sub(b.levelAt).Seconds()
	// What a larger share has saved is let go: all daemons would spend it at once.
	b.ownLevel = min(b.ownLevel+b.ownFill()*d, b.depth())
	if !b.stale() {
		b.level = min(b.level+b.rate*b.fleet.ReachableShare*d, max(b.burst*b.fleet.ReachableShare, b.level))
		b.predictedOthers += b.othersRate * d
	}
	b.levelAt = now
}

func boundedWait(seconds float64) time.Duration {
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
	// initialReportInterval is taken for the interval of reports until it is known.
	initialReportInterval = 400 * time.Millisecond
	// nearLimitShare is the part of the burst below which a workspace's limit is
	// short: it is used up within a report or two by a demand of several times it.
	nearLimitShare = 0.5
	// detectionSeconds is about how long a daemon has been silent when it isn't
	// counted any more.
	detectionSeconds = 1.5
	// reserveSeconds of the rate, and at most reserveShare of the burst, are
	// shared out: about what is let in before all daemons have heard of it.
	reserveSeconds = 0.3
	reserveShare   = 0.25
	// enforcedTime is how long a limit is taken to be in force after a refusal, and
	// forceShare the part of the burst that is shared out meanwhile.
	enforcedTime  = 2 * time.Second
	enforcedReserveShare = 0.75
	// depthSeconds is how much of its share a daemon may have saved: some
	// reports long.
	depthSeconds = 0.5
	// sparseSeconds of its share are less than a request where a daemon lets requests in
	// by chance.
	sparseSeconds = 5.0
	// costWeight is the weight of the newest request in the mean cost.
	costWeight = 0.1
	// minCorrectionSeconds is the time in which a difference of the common level from
	// zero is made up for: several reports long, or it swings.
	minCorrectionSeconds = 1.0
	// minCorrectionReports is how many reports long that is at least.
	minCorrectionReports = 2.5
	// minFillFactor and mostFactor bound that correction.
	minFillFactor = 0.05
	maxFillFactor  = 2
	// evenShareWeight is the weight of equal shares against what was let in lately.
	evenShareWeight = 0.5
)
