package scaling

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/cyclamenbeam/cyclamenbeam/internal/fixedseed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// The simulated cloud starts ordered endpoints after a boot time. A reclaim stops a
// data centre's reclaimable endpoints after a notice, and for a while orders for
// reclaimable endpoints are refused. The simulation measures the shortfall of
// endpoints and the cost.

const (
	simStep        = 500 * time.Millisecond
	simBootTime    = 4 * time.Second
	simNotice      = 2500 * time.Millisecond
	spotPriceRatio = 0.15 // price of a reclaimable endpoint by that of an on-demand one
)

var dataCentres = []fleet.DataCentre{"a", "b", "c", "d"}

// reclaim is the reclaim of a data centre's reclaimable endpoints.
type reclaim struct {
	at          time.Duration
	dataCentre  fleet.DataCentre
	unavailable time.Duration // for how long no data centre has any
}

// scenario is the input of a simulation.
type scenario struct {
	length     time.Duration
	need       func(at time.Duration) float64 // endpoints that the load takes
	reclaims   []reclaim
	outage     [2]time.Duration // start and end of the time without answers to orders
	takeoverAt time.Duration    // when a new planner takes over; 0: never
}

// batch is the endpoints of one order.
type batch struct {
	place    Place
	n        int
	readyAt  time.Duration // when they begin to serve
	goneAt   time.Duration // when they vanish; 0: never
	noticeAt time.Duration // when their notice begins; 0: never
}

// simulation runs a scenario and sums up its results.
type simulation struct {
	scenario
	batches          []batch
	now              time.Duration
	unavailableUntil time.Duration
	orderCount       int
	reversals        int
	reducedAt        map[Place]time.Duration
	shortfall        float64 // endpoint seconds
	cost             float64 // endpoint seconds at the on-demand price
}

func newSimulation(s scenario) *simulation {
	p := &simulation{scenario: s, reducedAt: map[Place]time.Duration{}}
	for _, dc := range dataCentres {
		p.batches = append(p.batches, batch{place: Place{dc, false}, n: 4})
	}
	return p
}

// serving returns the number of endpoints at a place that serve and aren't leaving.
func (p *simulation) serving(place Place) int {
	n := 0
	for _, b := range p.batches {
		if b.place == place && b.readyAt <= p.now && b.noticeAt == 0 {
			n += b.n
		}
	}
	return n
}

// ordered returns the number of endpoints at a place that aren't leaving, those that
// still start included.
func (p *simulation) ordered(place Place) int {
	n := 0
	for _, b := range p.batches {
		if b.place == place && b.noticeAt == 0 {
			n += b.n
		}
	}
	return n
}

func (p *simulation) sample() *Sample {
	s := &Sample{
		Service: &route.Service{
			Engine: &route.Engine{Slots: 10},
			Scaling: &route.Scaling{
				Min: 1, Max: 10, BootTime: simBootTime,
				OnDemandPrices: map[fleet.DataCentre]float64{"a": 1, "b": 0.8, "c": 1.25, "d": 0.9},
			},
		},
		Serving: map[Place]int{}, Leaving: map[Place]int{}, Seconds: simStep.Seconds(),
		Slots: 10 * p.need(p.now),
	}
	for _, dc := range dataCentres {
		for _, spot := range []bool{false, true} {
			place := Place{dc, spot}
			s.Serving[place] = p.serving(place)
		}
	}
	for _, b := range p.batches {
		if b.noticeAt != 0 {
			s.Leaving[b.place] += b.n
		}
	}
	return s
}

// apply carries out an order and reports whether it was accepted. An increase within
// the boot time after a decrease counts as a reversal.
func (p *simulation) apply(o Order) bool {
	p.orderCount++
	before := p.ordered(o.Place)
	if o.Count > before && o.Spot && p.now < p.unavailableUntil {
		return false
	}
	if o.Count < before {
		p.reducedAt[o.Place] = p.now
	}
	if at, ok := p.reducedAt[o.Place]; ok && o.Count > before && p.now-at < simBootTime {
		p.reversals++
	}
	if o.Count > before {
		p.batches = append(p.batches, batch{place: o.Place, n: o.Count - before, readyAt: p.now + simBootTime})
	}
	for i := len(p.batches) - 1; i >= 0 && before > o.Count; i-- {
		b := &p.batches[i]
		if b.place != o.Place || b.noticeAt != 0 {
			continue
		}
		removed := min(b.n, before-o.Count)
		before -= removed
		b.n -= removed
		p.batches = append(p.batches, batch{place: b.place, n: removed, readyAt: b.readyAt, noticeAt: p.now, goneAt: p.now + 2*time.Second})
	}
	return true
}

func (p *simulation) reclaim(r reclaim) {
	p.unavailableUntil = max(p.unavailableUntil, p.now+r.unavailable)
	for i := range p.batches {
		if b := &p.batches[i]; b.place == (Place{r.dataCentre, true}) && b.noticeAt == 0 {
			b.noticeAt, b.goneAt = p.now, p.now+simNotice
		}
	}
}

// addCosts adds the shortfall and the cost of a step.
func (p *simulation) addCosts() {
	prices := p.sample().Service.Scaling.OnDemandPrices
	serving := 0.0
	kept := p.batches[:0]
	for _, b := range p.batches {
		if b.goneAt != 0 && b.goneAt <= p.now || b.n == 0 {
			continue
		}
		kept = append(kept, b)
		price := prices[b.place.DataCentre]
		if b.place.Spot {
			price *= spotPriceRatio
		}
		p.cost += price * float64(b.n) * simStep.Seconds()
		if b.readyAt <= p.now {
			serving += float64(b.n)
		}
	}
	p.batches = kept
	p.shortfall += max(p.need(p.now)-serving, 0) * simStep.Seconds()
}

// run simulates the scenario with a planner's methods, or those of another policy.
func (p *simulation) run(plan func(now time.Time, s *Sample) []Order, refused func(time.Time, Order), failed func(Order)) {
	for ; p.now < p.length; p.now += simStep {
		for _, r := range p.reclaims {
			if r.at == p.now {
				p.reclaim(r)
			}
		}
		now := start.Add(p.now)
		for _, o := range plan(now, p.sample()) {
			switch {
			case p.now >= p.outage[0] && p.now < p.outage[1]:
				failed(o)
			case !p.apply(o):
				refused(now, o)
			}
		}
		p.addCosts()
	}
}

func simulatePlanner(s scenario) *simulation {
	p := newSimulation(s)
	planner := New()
	p.run(func(now time.Time, sample *Sample) []Order {
		if p.takeoverAt != 0 && p.now == p.takeoverAt {
			planner = New()
		}
		return planner.Plan(now, sample)
	}, func(now time.Time, o Order) { planner.Refused(now, o) }, func(o Order) { planner.Failed(o) })
	return p
}

// simulateOnDemandOnly keeps on-demand endpoints for the peak load and a third more.
func simulateOnDemandOnly(s scenario) *simulation {
	p := newSimulation(s)
	peak := 0.0
	for at := time.Duration(0); at < s.length; at += simStep {
		peak = max(peak, s.need(at))
	}
	each := int(math.Ceil(peak * 4 / 3 / float64(len(dataCentres))))
	done := false
	p.run(func(time.Time, *Sample) []Order {
		if done {
			return nil
		}
		done = true
		var out []Order
		for _, dc := range dataCentres {
			out = append(out, Order{Place{dc, false}, each})
		}
		return out
	}, func(time.Time, Order) {}, func(Order) {})
	return p
}

// idealCost returns the cost of a policy with perfect foresight: reclaimable
// endpoints as long as a data centre keeps its own for the next boot time, on-demand
// ones otherwise, all ordered a boot time ahead.
func idealCost(s scenario) (cost float64) {
	for at := time.Duration(0); at < s.length; at += simStep {
		safe := len(dataCentres)
		for _, r := range s.reclaims {
			if at >= r.at-simBootTime && at < r.at+r.unavailable+simBootTime {
				safe--
			}
		}
		need := math.Ceil(max(s.need(at), s.need(min(at+simBootTime, s.length)), 1) / targetUtilisation)
		price := spotPriceRatio * 0.9
		if safe <= 0 {
			price = 0.8
		}
		cost += need * price * simStep.Seconds()
	}
	return cost
}

// loadStart is when the first requests arrive.
const loadStart = 8 * time.Second

func constant(n float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < loadStart {
			return 0
		}
		return n
	}
}

// reclaimWave returns reclaims of the first n data centres, some time apart.
func reclaimWave(from time.Duration, apart, unavailable time.Duration, n int) []reclaim {
	var out []reclaim
	for i := range n {
		out = append(out, reclaim{at: from + time.Duration(i)*apart, dataCentre: dataCentres[i], unavailable: unavailable})
	}
	return out
}

// scenarios returns waves of one to four reclaims, a wave with a burst of load, one
// with a cloud that answers no orders, and one with a takeover by a new planner.
func scenarios() map[string]scenario {
	const length = 70 * time.Second
	seconds := func(n int) time.Duration { return time.Duration(n) * time.Second }
	burst := func(at time.Duration) float64 {
		if at >= seconds(34) && at < seconds(40) {
			return 9
		}
		return constant(6)(at)
	}
	return map[string]scenario{
		"steady":   {length: length, need: constant(6)},
		"one":      {length: length, need: constant(6), reclaims: reclaimWave(seconds(30), 0, seconds(13), 1)},
		"two":      {length: length, need: constant(6), reclaims: reclaimWave(seconds(30), seconds(6), seconds(13), 2)},
		"three":    {length: length, need: constant(6), reclaims: reclaimWave(seconds(30), seconds(4), seconds(13), 3)},
		"four":     {length: length, need: constant(6), reclaims: reclaimWave(seconds(30), seconds(3), seconds(13), 4)},
		"burst":    {length: length, need: burst, reclaims: reclaimWave(seconds(30), seconds(4), seconds(13), 2)},
		"outage":   {length: length, need: constant(6), reclaims: reclaimWave(seconds(30), seconds(4), seconds(13), 3), outage: [2]time.Duration{seconds(31), seconds(35)}},
		"takeover": {length: length, need: constant(6), reclaims: reclaimWave(seconds(30), seconds(4), seconds(13), 3), takeoverAt: seconds(35)},
	}
}

// Guards against a planner that replaces reclaimed endpoints one by one, as orders
// for reclaimable ones are refused during a wave: callers lack endpoints for seconds.
// Without the hazard, the shortfall is 1.5 endpoint seconds in the burst, 3 with three
// losses and 6 with four. On-demand endpoints alone have none, at a higher cost. A
// planner that takes over can't see starting endpoints that were ordered before, and
// may reverse one of these orders.
func TestReclaimWavesCauseLittleShortfall(t *testing.T) {
	for name, s := range scenarios() {
		p, onDemandOnly, ideal := simulatePlanner(s), simulateOnDemandOnly(s), idealCost(s)
		t.Logf("%-7s shortfall %5.1f cost %6.1f orders %3d reversals %d; on-demand only: shortfall %.1f cost %.1f; ideal cost %.1f",
			name, p.shortfall, p.cost, p.orderCount, p.reversals, onDemandOnly.shortfall, onDemandOnly.cost, ideal)
		assert.Check(t, p.shortfall <= 1, "%s: shortfall of %.1f endpoint seconds", name, p.shortfall)
		assert.Check(t, p.cost <= 0.75*onDemandOnly.cost, "%s: cost %.1f", name, p.cost)
		allowed := 0
		if s.takeoverAt != 0 {
			allowed = 1
		}
		assert.Check(t, p.reversals <= allowed, "%s: %d orders were reversed", name, p.reversals)
	}
}

// Guards against a planner that releases reclaimable endpoints of other data centres
// during a wave, as the load fell just before it: two data centres lose theirs, no
// replacement is available, and callers get a fraction of what they need.
func TestNoReclaimableEndpointIsReleasedInAWave(t *testing.T) {
	s := scenario{length: 60 * time.Second, reclaims: reclaimWave(30*time.Second, 5*time.Second, 14*time.Second, 2)}
	s.need = func(at time.Duration) float64 {
		if at < 24*time.Second {
			return constant(9)(at)
		}
		return 5
	}
	p := newSimulation(s)
	planner := New()
	p.run(func(now time.Time, sample *Sample) []Order {
		orders := planner.Plan(now, sample)
		for _, o := range orders {
			inWave := p.now >= 30*time.Second && p.now < 45*time.Second
			assert.Check(t, !inWave || !o.Spot || o.Count >= p.serving(o.Place), "%v: %+v", p.now, o)
		}
		return orders
	}, func(now time.Time, o Order) { planner.Refused(now, o) }, func(o Order) { planner.Failed(o) })
	assert.Equal(t, p.shortfall, 0.0)
}

// Guards against orders that alternate: under a constant load, with any reclaims and
// refusals, there is less than one reversal in two boot times.
func TestOrdersAreRarelyReversed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := scenario{length: 60 * time.Second, need: constant(rapid.Float64Range(1, 12).Draw(t, "need"))}
		for i := range rapid.IntRange(0, 6).Draw(t, "losses") {
			s.reclaims = append(s.reclaims, reclaim{
				at:          time.Duration(rapid.IntRange(20, 100).Draw(t, fmt.Sprint("at", i))) * simStep,
				dataCentre:  rapid.SampledFrom(dataCentres).Draw(t, fmt.Sprint("centre", i)),
				unavailable: time.Duration(rapid.IntRange(0, 20).Draw(t, fmt.Sprint("unavailable", i))) * time.Second,
			})
		}
		p := simulatePlanner(s)
		if most := int(s.length / simBootTime); p.reversals > most/2 {
			t.Fatalf("%d orders were reversed", p.reversals)
		}
		if p.orderCount > 200 {
			t.Fatalf("%d orders", p.orderCount)
		}
	})
}
