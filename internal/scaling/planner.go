package scaling

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Planner plans the endpoints of one service. Its state isn't persisted: the daemon
// that takes over the scaling duty starts with a new planner. It is not safe for
// concurrent use.
type Planner struct {
	load               float64   // number of endpoints that the requests keep busy, smoothed
	cachedLoad         float64   // number of endpoints that prefill of the cached tokens would keep busy, smoothed
	loadedSince        time.Time // when requests first arrived; zero: none yet
	measured           bool      // requests have arrived for measureTime
	estimated          bool      // requests have arrived for estimateTime
	initialNeed        float64   // lower bound of the needed endpoints until measured
	started            bool      // the first plan was made
	takenOverAt        time.Time // when this planner started under load; zero: it started without
	startCount         int       // endpoints in the last sample before the start
	startCountSince    time.Time // since when it has been the same
	fewerSince         time.Time // since when fewer reclaimable endpoints would suffice; zero: they wouldn't
	onDemand           int       // on-demand endpoints wanted in all data centres
	fewerOnDemandSince time.Time // since when fewer would suffice during a wave; zero: they wouldn't
	limitedLoss        float64   // capacity that rate limits take, in endpoints
	supply             *supply
	perDataCentre      int // reclaimable endpoints wanted in each data centre
}

// New returns a planner for a service.
func New() *Planner { return &Planner{supply: newSupply()} }

// Plan takes a sample and returns the orders that are due, for the caller to send.
// It returns none before the endpoints found at the start are known, and none for a
// service that isn't scaled.
func (p *Planner) Plan(now time.Time, s *Sample) []Order {
	if s.Service.Scaling == nil || len(s.Service.Scaling.OnDemandPrices) == 0 {
		return nil
	}
	p.supply.observe(now, s)
	if !p.ready(now, s) {
		return nil
	}
	p.updateLoad(now, s)
	p.updateReclaimable(now, s)
	wanted := map[Place]int{}
	for dc := range s.Service.Scaling.OnDemandPrices {
		wanted[Place{dc, true}] = min(p.perDataCentre, p.reclaimableRoom(s, dc))
	}
	p.addOnDemand(now, s, wanted)
	return p.dueOrders(now, s, wanted)
}

// reclaimableRoom returns how many reclaimable endpoints a data centre can have
// beside its on-demand ones; an order for more would bring fewer than it asks for.
// It is never below the number that serves there.
func (p *Planner) reclaimableRoom(s *Sample, dc fleet.DataCentre) int {
	return max(s.Service.Scaling.Max-s.Serving[Place{dc, false}], s.Serving[Place{dc, true}])
}

// Refused reports that an order was refused; it is due again after a while.
func (p *Planner) Refused(now time.Time, o Order) {
	p.supply.recordRefusal(now, o)
}

// Failed reports that an order wasn't sent or its outcome is unknown; it can be due
// again at once.
func (p *Planner) Failed(o Order) { p.supply.forgetOrder(o.Place) }

// ready reports whether planning can start, and sets the state to start from.
// When the platform starts, endpoints register one after the other; a plan based on
// the first few would release most of the others, which would be missing when
// requests arrive. If requests arrive already, another planner was active before:
// this one starts at once, with the endpoints that it left.
func (p *Planner) ready(now time.Time, s *Sample) bool {
	if !p.started && s.Slots > 0 {
		p.started, p.takenOverAt = true, now
		p.initialNeed = initialNeedShare * float64(total(s.Serving))
		p.perDataCentre = mostReclaimable(s)
		p.onDemand = p.onDemandPresent(now, s)
		return true
	}
	if n := total(s.Serving); !p.started && n != p.startCount {
		p.startCount, p.startCountSince = n, now
	}
	if p.started || p.startCount == 0 || now.Sub(p.startCountSince) < registrationSettleTime {
		return p.started
	}
	p.started = true
	p.initialNeed = initialNeedShare * float64(p.startCount)
	return true
}

// updateLoad smooths the load of a sample. An engine alternates between decoding its
// batch and prefill, so the shares of its time that they take add up. Prefill counts by
// the mean speed, since endpoints that are started or released may be of any; Slots are
// those at an endpoint of nominal speed already.
func (p *Planner) updateLoad(now time.Time, s *Sample) {
	slots := 1
	if s.Service.Engine != nil {
		slots = max(s.Service.Engine.Slots, 1)
	}
	busy := s.Slots / float64(slots)
	cached := 0.0
	if s.PrefillCapacity > 0 {
		capacity := s.PrefillCapacity
		if s.MeanSpeed > 0 {
			capacity *= s.MeanSpeed
		}
		busy += s.Prefill / capacity
		cached = max(s.Prompt-s.Prefill, 0) / capacity
	}
	if busy > 0 && p.loadedSince.IsZero() {
		p.loadedSince = now
		p.load, p.cachedLoad = busy, cached
	}
	p.measured = p.loadedFor(now, measureTime)
	p.estimated = p.loadedFor(now, estimateTime)
	p.load = smooth(p.load, busy, s.Seconds)
	p.cachedLoad = smooth(p.cachedLoad, cached, s.Seconds)
	p.limitedLoss = p.lossByRateLimits(s)
}

// lossByRateLimits returns how many endpoints the rate limits make up for: an endpoint with
// a limit counts as the part of an endpoint that its limit is of what the others serve.
func (p *Planner) lossByRateLimits(s *Sample) float64 {
	if p.load <= 0 || s.Requests <= 0 {
		return 0
	}
	usual := targetUtilisation * s.Requests / p.load // requests a second of an endpoint
	lost := 0.0
	for _, limit := range s.RateLimits {
		lost += max(1-limit/usual, 0)
	}
	return lost
}

// loadedFor reports whether requests first arrived at least d ago.
func (p *Planner) loadedFor(now time.Time, d time.Duration) bool {
	return !p.loadedSince.IsZero() && now.Sub(p.loadedSince) >= d
}

// smooth returns the exponentially smoothed value, with riseSeconds or fallSeconds
// as the time constant.
func smooth(old, sample, seconds float64) float64 {
	constant := fallSeconds
	if sample > old {
		constant = riseSeconds
	}
	return old + (sample-old)*(1-math.Exp(-seconds/constant))
}

// needAfterLoss returns how many endpoints the load takes at targetUtilisation after
// the loss of a share of the endpoints: the prompts cached there need prefill again
// elsewhere. It includes what endpoints with a rate limit don't serve.
func (p *Planner) needAfterLoss(lost float64) float64 {
	return max((p.load+lost*p.cachedLoad)/targetUtilisation, 1) + p.limitedLoss
}

// estimatedNeed returns how many endpoints the load takes, or is assumed to take
// until it has been measured.
func (p *Planner) estimatedNeed() float64 {
	need := p.needAfterLoss(0)
	switch {
	case p.measured:
		return need
	case p.estimated:
		return max(need, min(p.initialNeed, estimateMargin*need))
	default:
		return max(need, p.initialNeed)
	}
}

// updateReclaimable sets the reclaimable endpoints of each data centre. Their number
// rises at once. It falls only after scaleDownDelay, by half of the difference or to
// maxExcess times the wanted number, whichever is less.
func (p *Planner) updateReclaimable(now time.Time, s *Sample) {
	dataCentres := len(s.Service.Scaling.OnDemandPrices)
	remaining := max(dataCentres-toleratedLosses, 1)
	need := p.estimatedNeed()
	want := int(math.Ceil(need / float64(remaining)))
	want = min(max(want, s.Service.Scaling.Min), s.Service.Scaling.Max)
	switch {
	case want >= p.perDataCentre:
		p.perDataCentre, p.fewerSince = want, time.Time{}
	case p.fewerSince.IsZero():
		p.fewerSince = now
	case p.supply.inWave(now):
		p.fewerSince = now // the endpoints may be needed next, and can't be replaced
	case now.Sub(p.fewerSince) > scaleDownDelay && !p.settling(now):
		p.perDataCentre = min((p.perDataCentre+want)/2, max(maxExcess*want, s.Service.Scaling.Min))
		p.fewerSince = now
	}
}

// settling reports whether a planner that started under load hasn't measured the
// load for long enough to release endpoints.
func (p *Planner) settling(now time.Time) bool {
	return !p.takenOverAt.IsZero() && now.Sub(p.takenOverAt) < measureTime
}

// mostReclaimable returns the largest number of reclaimable endpoints in any data
// centre.
func mostReclaimable(s *Sample) int {
	n := 0
	for place, count := range s.Serving {
		if place.Spot {
			n = max(n, count)
		}
	}
	return n
}

// dueOrders returns and records the orders for wanted counts that weren't ordered
// yet, or whose endpoints are still missing after the boot time.
func (p *Planner) dueOrders(now time.Time, s *Sample, wanted map[Place]int) []Order {
	var out []Order
	for _, dc := range slices.Sorted(maps.Keys(s.Service.Scaling.OnDemandPrices)) {
		for _, spot := range [...]bool{true, false} {
			place := Place{dc, spot}
			o := Order{place, wanted[place]}
			if p.isDue(now, s, o) {
				p.supply.recordOrder(now, o)
				out = append(out, o)
			}
		}
	}
	return out
}

func (p *Planner) isDue(now time.Time, s *Sample, o Order) bool {
	st := p.supply.state(o.Place)
	switch {
	case !st.refusedAt.IsZero():
		return now.Sub(st.refusedAt) >= refusalRetryDelay && s.Serving[o.Place] != o.Count
	case !st.isOrdered:
		return s.Serving[o.Place] != o.Count
	case st.ordered != o.Count:
		return true
	default:
		return s.Serving[o.Place]+p.supply.starting(now, s, o.Place) < o.Count
	}
}

func total(counts map[Place]int) int {
	n := 0
	for _, c := range counts {
		n += c
	}
	return n
}
