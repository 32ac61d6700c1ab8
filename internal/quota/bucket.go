package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

// Bucket is this daemon's estimate of the common bucket of one workspace. Amounts are
// in the workspace's unit, tokens or requests.
//
// While much is left in it, requests are admitted as they come. When little is left,
// each daemon admits at its own share of the rate, through a small bucket of its own:
// the common level is some hundred milliseconds old everywhere, and if all daemons
// followed it, all would admit and refuse at the same time.
type Bucket struct {
	rate, burst float64
	grace       float64 // how far below zero a request may start
	level       float64
	levelAt     time.Time // time of level and of predictedOthers
	ownLevel    float64   // level of this daemon's own bucket
	fleet       Fleet
	// The others' spending is known late. Until the next update it is assumed to continue
	// at othersRate: predictedOthers is the assumed spending since the last update.
	predictedOthers float64
	othersRate      float64 // per second, smoothed
	ownRate         float64 // per second, smoothed
	spent           float64 // by this daemon since othersAt
	othersAt        time.Time
	refusedAt       time.Time     // of the last refusal
	noReportYet     bool          // no update has arrived since the start
	restored        bool          // othersRate comes from a checkpoint
	restartDebt     restartDebt   // for the time before the start
	reportInterval  time.Duration // until the next update
	meanCost        float64       // of requests at this daemon, smoothed; zero before the first one
	tolerance       float64       // excess beyond the limit that is tolerated in a window
	random          *rand.Rand
	shared          bool // the routes' shares of the limit are in force
	byPriority      bool // the limit is spent by priority while demand exceeds it
	// exhausted: the limit was near its end at the last update and exceeded since the one
	// before, while no shares were in force.
	exhausted bool
}

// Fleet is a daemon's view of the daemons that share a limit.
type Fleet struct {
	// Daemons is how many there are or were recently, reachable or not.
	Daemons int
	// ReachableShare is the part of the rate that this daemon and those it can reach may
	// admit together. The rest belongs to daemons that may be partitioned from it.
	ReachableShare float64
}

// NewBucket returns a bucket with a level at now: burst when the whole system starts
// for the first time. grace is how far below zero the level may be when a request is
// admitted.
func NewBucket(now time.Time, rate, burst, level, grace float64) *Bucket {
	return &Bucket{
		rate: rate, burst: burst, level: min(level, burst), grace: grace, levelAt: now,
		othersAt: now, noReportYet: true, reportInterval: initialReportInterval, fleet: Fleet{Daemons: 1, ReachableShare: 1},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// SetFleet applies a changed fleet. When fewer daemons can be reached, they keep their
// share of what is left. When more can, the additional ones are assumed to spend their
// share until an update arrives.
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

// shrink reduces the level to this side's share of it, where share is the ratio of the
// new to the old reachable share. Deducted first is what the unreachable daemons may
// have spent before their loss was detected.
func (b *Bucket) shrink(share float64) {
	spending := min(b.othersRate+b.ownRate, b.rate)
	b.level = share * (b.level - (1-share)*spending*detectionSeconds)
}

// setReportInterval sets the time until the next update.
func (b *Bucket) setReportInterval(now time.Time, d time.Duration) {
	b.fill(now)
	b.reportInterval = d
}

// nearLimit reports whether so little is left that the others' spending must be known
// soon.
func (b *Bucket) nearLimit(now time.Time) bool {
	if b.rate <= 0 {
		return false
	}
	b.fill(now)
	return b.available() < nearLimitShare*b.burst
}

// SetLimit applies a changed limit. A smaller burst takes effect at once.
func (b *Bucket) SetLimit(now time.Time, rate, burst float64) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// AddOthers takes what all other daemons have spent since the last update. Spending in
// a gap between reports counts only in part, since the level doesn't fill in the rest
// of it.
func (b *Bucket) AddOthers(now time.Time, spent float64) {
	b.fill(now)
	d := now.Sub(b.othersAt)
	b.level = min(b.level-spent*CountedShare(d, b.reportInterval), b.burst)
	switch {
	case d <= 0:
	case !b.noReportYet:
		weight := 1 - math.Exp(-d.Seconds()/rateSeconds)
		if b.exhausted = b.exceeded(spent, d); b.exhausted {
			weight = 1 // smoothed rates would follow the jump of demand too late
		}
		b.updateRates(spent/d.Seconds(), b.spent/d.Seconds(), weight)
	case b.restored:
		b.updateRates(spent/d.Seconds(), b.spent/d.Seconds(), 1)
	}
	b.markUpdated(now)
}

// exceeded reports whether more than the rate was spent in the time since the last update,
// of a limit that is spent by priority, is nearly used up and has no shares yet. It is false
// where the tolerated excess covers the savings of all own buckets: daemons may then follow a
// jump of demand more slowly.
func (b *Bucket) exceeded(othersSpent float64, d time.Duration) bool {
	if !b.byPriority || b.shared || b.tolerance >= depthSeconds*b.rate {
		return false
	}
	return b.available() < nearLimitShare*b.burst && othersSpent+b.spent > b.rate*d.Seconds()
}

// updateRates smooths both spending rates, per second, with the weight of the new
// values.
func (b *Bucket) updateRates(others, own, weight float64) {
	b.othersRate += (others - b.othersRate) * weight
	b.ownRate += (own - b.ownRate) * weight
}

// ApplyPrediction handles an update that has no amounts: a new hub's totals start at
// zero. The others are assumed to have spent as predicted.
func (b *Bucket) ApplyPrediction(now time.Time) {
	b.fill(now)
	b.level -= b.predictedOthers
	b.markUpdated(now)
}

func (b *Bucket) markUpdated(now time.Time) {
	b.predictedOthers, b.spent = 0, 0
	b.othersAt, b.noReportYet = now, false
}

// CountedShare returns the part of a gap between two reports that counts: for it the
// level fills as if reports had arrived, and spending in it is deducted. interval is
// the time between reports. The sides of a gap must agree on it, so hubs use it as
// well.
func CountedShare(gap, interval time.Duration) float64 {
	after := staleAfter(interval)
	if gap <= after {
		return 1
	}
	return after.Seconds() / gap.Seconds()
}

// staleAfter returns how long after the last update a daemon relies on its even share
// of the rate alone. A report may be late by half of the interval, and its answer by
// answerSlack.
func staleAfter(interval time.Duration) time.Duration { return interval*3/2 + answerSlack }

// Take admits a request of a cost, or returns after how long it could be admitted.
func (b *Bucket) Take(now time.Time, cost float64) (wait time.Duration, ok bool) {
	b.fill(now)
	if !b.shared {
		b.observeCost(cost)
	}
	if b.rate <= 0 || b.ample(cost) {
		b.spend(cost)
		return 0, true
	}
	if b.fleet.Daemons == 1 {
		return boundedWait((b.requiredLevel(cost) - b.available()) / b.rate), false
	}
	if b.gated() {
		return b.admitGated(cost)
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

// setShared puts the shares of the routes in force, with the mean cost of what passes at
// all daemons, or ends them. That cost replaces the one that this daemon observes, which
// depends on the requests that it decides about: the larger one is, the lower its chance.
func (b *Bucket) setShared(inForce bool, meanCost float64) {
	if b.shared = inForce; inForce {
		b.meanCost = meanCost
	}
}

// observeCost adds a request to the mean cost.
func (b *Bucket) observeCost(cost float64) {
	if b.meanCost == 0 {
		b.meanCost = cost
		return
	}
	b.meanCost += (cost - b.meanCost) * costWeight
}

// sparse reports whether this daemon's share of the limit pays for less than one
// request in sparseSeconds, while the fleet is so large that one request of each
// daemon, admitted as a debt, would exceed the tolerance.
func (b *Bucket) sparse() bool {
	debts := float64(b.fleet.Daemons) * b.meanCost
	return b.fleet.Daemons > 1 && debts > b.tolerance && !b.stale() && b.meanCost > sparseSeconds*b.rate*b.share()
}

// admitByChance admits a request with such a probability that the daemons together
// admit what their own buckets pay for. Large requests have the same chance as small
// ones.
func (b *Bucket) admitByChance(cost float64) (wait time.Duration, ok bool) {
	if b.random.Float64()*b.meanCost >= b.ownLevel {
		b.refusedAt = b.levelAt
		return boundedWait((b.meanCost - b.ownLevel) / b.ownFill()), false
	}
	b.ownLevel -= cost
	b.spend(cost)
	return 0, true
}

// gated reports whether what passes the shares is near the limit, so that the own bucket
// may be wide. Otherwise the common level is far below zero or unknown: the own bucket must
// keep the limit whatever passes.
func (b *Bucket) gated() bool {
	debt := min(gatedDebtShare*b.correctionSeconds()*b.rate, max(b.tolerance-b.spread(), 0))
	return b.shared && !b.stale() && b.available() > -debt
}

// admitGated admits a request that its route's share has let pass. The shares keep what
// passes near the limit already, so that the own bucket only has to bound what a daemon
// admits beyond its part: its savings and debts are some requests, whatever their size.
func (b *Bucket) admitGated(cost float64) (wait time.Duration, ok bool) {
	if b.ownLevel < -b.gatedDepth() {
		b.refusedAt = b.levelAt
		return boundedWait((-b.gatedDepth() - b.ownLevel) / b.ownFill()), false
	}
	b.ownLevel -= b.meanCost
	b.spend(cost)
	return 0, true
}

// gatedDepth returns the savings and the debt of the own bucket while requests pass by
// shares.
func (b *Bucket) gatedDepth() float64 {
	return max(depthSeconds*b.rate*b.share(), gatedRequests*b.meanCost)
}

// ample reports whether a cost can be admitted whatever the other daemons do.
func (b *Bucket) ample(cost float64) bool {
	if b.stale() {
		return false
	}
	return b.available() >= b.requiredLevel(cost)+b.reserve()
}

// short reports whether a cost is admitted at the expense of other requests, so that
// shares by priority apply.
func (b *Bucket) short(cost float64) bool {
	return b.stale() || b.available() < b.requiredLevel(cost)+b.enforcedReserve()
}

// spendRate returns what all reachable daemons are known to admit per second.
func (b *Bucket) spendRate() float64 { return b.othersRate + b.ownRate }

// passing returns the amount per second that may pass the shares of the routes: of this
// daemon without updates, otherwise of all reachable daemons. It follows the common level
// as the own buckets do, so that the limit is used up whatever part of what passes is
// refused by the buckets.
func (b *Bucket) passing() float64 {
	if b.stale() {
		return b.rate * b.share()
	}
	debt := 0.0 // at which as much passes as the limit allows
	if b.fleet.ReachableShare == 1 {
		debt = b.othersRate*b.reportInterval.Seconds()/2 + passingMargin*b.correctionSeconds()*b.rate
	}
	debt = min(debt, b.tolerance-meanDebtSpreads*b.spread())
	debt = max(debt, -nearLimitShare*b.burst) // large requests must not keep the limit unused
	factor := 1 + (b.available()+debt)/(b.correctionSeconds()*b.rate)
	return b.rate * b.fleet.ReachableShare * min(max(factor, minFillFactor), maxFillFactor)
}

// spread estimates by how much the common level deviates from its mean while requests pass
// by shares: requests come at random, and what passes is corrected after correctionSeconds.
func (b *Bucket) spread() float64 { return math.Sqrt(b.meanCost * b.rate * b.correctionSeconds()) }

// requiredLevel returns the level that a cost requires: half of it, while the rest
// becomes a debt. If the whole cost were required, the largest requests would hardly
// ever be admitted; if nothing were, small requests would be refused for the debts of
// large ones.
func (b *Bucket) requiredLevel(cost float64) float64 { return min(debtShare*cost, b.burst) }

// requiredOwnLevel returns the level that a cost requires of the own bucket. A daemon
// without updates must not incur a debt: the others don't know of it, and the debts
// of a whole fleet add up.
func (b *Bucket) requiredOwnLevel(cost float64) float64 {
	switch {
	case b.stale():
		return cost
	case b.shared: // else a route of large requests would get less than its share
		return debtShare * b.meanCost
	default:
		return debtShare * cost
	}
}

func (b *Bucket) spend(cost float64) {
	b.spent += cost
	if !b.stale() {
		b.level -= cost
	}
}

// chargeRestartDebt deducts the estimated spending before the start once it is due,
// and returns it.
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

// Adopt takes the level of a daemon that has run for longer.
func (b *Bucket) Adopt(now time.Time, level float64) {
	b.fill(now)
	b.level = min(level, b.burst)
	b.refusedAt = time.Time{}
	b.restartDebt = restartDebt{}
}

// Level returns what is left at now, without grace and prediction.
func (b *Bucket) Level(now time.Time) float64 {
	b.fill(now)
	return b.level
}

// available returns what can be admitted now.
func (b *Bucket) available() float64 { return b.level + b.grace - b.predictedOthers }

// reserve returns the level below which requests are rationed by the own buckets.
// After a refusal it is high, so that rationing continues until most of the limit has
// refilled: the demand beyond the limit is still there, and would use the limit up
// again before all daemons have received each other's reports.
func (b *Bucket) reserve() float64 {
	if b.fleet.Daemons == 1 {
		return 0
	}
	return b.enforcedReserve()
}

// enforcedReserve returns the reserve of a fleet of any size.
func (b *Bucket) enforcedReserve() float64 {
	if b.shared || b.exhausted || b.levelAt.Sub(b.refusedAt) < enforcedTime {
		return enforcedReserveShare * b.burst
	}
	return min(reserveSeconds*b.rate, reserveShare*b.burst)
}

// stale reports whether this daemon has no recent update of the others' spending.
func (b *Bucket) stale() bool {
	switch {
	case b.fleet.Daemons == 1:
		return false
	case b.noReportYet: // the initial level holds until it is used up
		return b.level <= 0
	default:
		return b.levelAt.Sub(b.othersAt) >= staleAfter(b.reportInterval)
	}
}

// share returns this daemon's part of what the reachable daemons may admit: in
// proportion to what it admitted recently, and partly even, so that demand may move. A
// daemon without updates has an even share: it sees its own demand jump and not the
// others', so that in proportion each would take the largest part.
func (b *Bucket) share() float64 {
	if b.stale() {
		return 1 / float64(b.fleet.Daemons)
	}
	n := max(float64(b.fleet.Daemons)*b.fleet.ReachableShare, 1)
	even := evenShareWeight * b.rate / n
	return (b.ownRate + even) / (b.ownRate + b.othersRate + evenShareWeight*b.rate)
}

// ownFill returns the rate at which the own bucket fills: above this daemon's share of
// the limit while the common level is above zero, and below it while that is negative.
func (b *Bucket) ownFill() float64 {
	if b.stale() {
		return b.rate * b.share()
	}
	fill := b.rate * b.fleet.ReachableShare * b.share() * b.fillFactor()
	if b.gated() {
		fill *= gatedFill
	}
	return fill
}

// fillFactor corrects the rate of admission by the common level.
func (b *Bucket) fillFactor() float64 {
	factor := 1 + b.available()/(b.correctionSeconds()*b.rate)
	return min(max(factor, minFillFactor), maxFillFactor)
}

// correctionSeconds returns the time in which a deviation of the common level from
// zero is corrected.
func (b *Bucket) correctionSeconds() float64 {
	return max(minCorrectionSeconds, minCorrectionReports*b.reportInterval.Seconds())
}

// depth returns the capacity of the own bucket. A daemon that must not incur a debt
// has to be able to save for the largest request.
func (b *Bucket) depth() float64 {
	if b.stale() {
		return b.burst
	}
	if b.gated() {
		return b.gatedDepth()
	}
	depth := depthSeconds * b.rate * b.share()
	if b.exhausted {
		depth = min(depth, savingsShare*b.tolerance/float64(b.fleet.Daemons))
	}
	if b.sparse() && b.available() < b.reserve() {
		return max(depth, b.meanCost)
	}
	return depth
}

func (b *Bucket) fill(now time.Time) {
	if !now.After(b.levelAt) {
		return
	}
	staleAt := b.othersAt.Add(staleAfter(b.reportInterval))
	if b.levelAt.Before(staleAt) && now.After(staleAt) {
		b.advance(staleAt)
	}
	b.advance(now)
}

// advance fills the bucket up to a time before which its rates don't change.
func (b *Bucket) advance(now time.Time) {
	d := now.Sub(b.levelAt).Seconds()
	// Savings from a time of a larger share are dropped: all daemons would spend them at
	// once.
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
	// debtShare is the part of a request's cost that must be available.
	debtShare = 0.5
	// maxWaitSeconds bounds the wait that a refused caller is given: a limit may be raised
	// at any time, and no request's deadline is longer.
	maxWaitSeconds = 15
	// rateSeconds is the time constant of the smoothed spending rates.
	rateSeconds = 1.0
	// answerSlack covers a late answer to a report, and a hub that died: the call to it
	// ends after some hundred milliseconds.
	answerSlack = 250 * time.Millisecond
	// initialReportInterval is assumed until the interval is known.
	initialReportInterval = 400 * time.Millisecond
	// nearLimitShare is the part of the burst below which a workspace is near its limit:
	// demand of several times the limit uses it up within one or two reports.
	nearLimitShare = 0.5
	// detectionSeconds is about how long a daemon has been unresponsive when it is removed
	// from the count.
	detectionSeconds = 1.5
	// reserveSeconds of the rate, and at most reserveShare of the burst, are rationed:
	// about what is admitted before all daemons have received the reports of it.
	reserveSeconds = 0.3
	reserveShare   = 0.25
	// enforcedTime is how long a limit counts as enforced after a refusal, and
	// enforcedReserveShare the part of the burst that is rationed meanwhile.
	enforcedTime         = 2 * time.Second
	enforcedReserveShare = 0.75
	// depthSeconds of its share are the capacity of a daemon's own bucket: the time of
	// some reports.
	depthSeconds = 0.5
	// sparseSeconds: a daemon whose share over this time is less than a mean request
	// admits by chance.
	sparseSeconds = 5.0
	// gatedRequests is how many mean requests a daemon may save or owe while requests pass
	// by shares, and gatedFill by how much its own bucket then fills faster. Requests come at
	// random, and in a large fleet one is some seconds of a daemon's part: a narrow bucket
	// would refuse many of those that pass.
	gatedRequests = 6.0
	gatedFill     = 3.0
	// gatedDebtShare bounds how far below zero the common level may be meanwhile, as a part
	// of what corrects the own buckets to nothing.
	gatedDebtShare = 0.5
	// meanDebtSpreads is how many spreads the mean of the common level keeps from the tolerated
	// excess while shares are in force, so that hardly any window exceeds it.
	meanDebtSpreads = 3.0
	// savingsShare bounds the savings of all own buckets together, as a part of the tolerated
	// excess, while a limit is exceeded and its shares aren't known yet: they are spent on top
	// of what was admitted before the reports of it arrived.
	savingsShare = 0.5
	// costWeight is the weight of the newest request in the mean cost.
	costWeight = 0.1
	// minCorrectionSeconds is the shortest time in which a deviation of the common level
	// from zero is corrected. It spans several reports: otherwise the level oscillates.
	minCorrectionSeconds = 1.0
	// minCorrectionReports is the shortest such time in reports.
	minCorrectionReports = 2.5
	// minFillFactor and maxFillFactor bound the correction.
	minFillFactor = 0.05
	maxFillFactor = 2
	// evenShareWeight is the weight of even shares against what was admitted recently.
	evenShareWeight = 0.5
)
