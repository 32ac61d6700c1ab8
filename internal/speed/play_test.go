package speed

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

const (
	playStep    = 100 * time.Millisecond
	playReport  = 1200 * time.Millisecond // between two sums
	usualEvent  = 0.042                   // seconds; 7 tokens
	playLoading = 0.6                     // logarithm of the time of a full endpoint to that of an idle one
)

// playEndpoint is an endpoint of a play.
type playEndpoint struct {
	factor  float64
	load    func(at time.Duration) float64
	slowed  func(at time.Duration) float64 // further factor, nil: 1
	streams []*playStream
}

// playStream is a stream whose runs one daemon measures.
type playStream struct {
	daemon int
	ends   time.Duration
	events float64 // of the run in progress
	took   float64
}

// play is daemons that exchange what they observe of endpoints.
type play struct {
	rng       *rand.Rand
	mode      Mode
	endpoints []*playEndpoint
	keys      []rendezvous.ShortKey
	meters    []*Meter
	est       *Estimator // of daemon 0
	others    Observations
	othersAt  time.Duration
	at        time.Duration
	noise     float64
	streams   int // at one endpoint
	factors   []float64
}

func newPlay(endpoints, daemons int, factor func(i int) float64) *play {
	p := &play{rng: rand.New(rand.NewPCG(1, 2)), est: NewEstimator(), noise: 0.1, streams: 8, others: Observations{}}
	for i := range endpoints {
		p.endpoints = append(p.endpoints, &playEndpoint{factor: factor(i)})
		p.keys = append(p.keys, rendezvous.ShortKey(i+1))
	}
	for range daemons {
		p.meters = append(p.meters, NewMeter())
	}
	return p
}

func same(int) float64 { return 1 }

func (p *play) now() time.Time { return start.Add(p.at) }

// run plays for a time; after calls are made after each step with daemon 0's factors.
func (p *play) run(d time.Duration, after func()) {
	for until := p.at + d; p.at < until; {
		p.at += playStep
		for i, e := range p.endpoints {
			p.stream(e, p.keys[i])
		}
		if p.at%playReport == playReport/2 {
			sum := Observations{}
			for _, m := range p.meters[1:] {
				sum.Add(m.Own(p.now()), 0)
			}
			p.others, p.othersAt = sum, p.at
		}
		if p.at%(2*playStep) == 0 {
			p.estimate()
		}
		if after != nil {
			after()
		}
	}
}

func (p *play) estimate() {
	share := Decay(p.at - p.othersAt - playReport) // sums count in full until the next
	observed := func(k rendezvous.ShortKey) Observation {
		return p.meters[0].At(p.now(), k).Add(p.others[k].Scaled(share))
	}
	hold := p.at > p.othersAt && p.at < p.othersAt+playReport && p.othersAt > 0
	p.factors = p.est.Estimate(p.now(), p.keys, observed, hold, p.mode)
}

// stream lets an endpoint's streams go on for a step.
func (p *play) stream(e *playEndpoint, key rendezvous.ShortKey) {
	load := 0.3
	if e.load != nil {
		load = e.load(p.at)
	}
	perEvent := usualEvent * e.factor * math.Exp(playLoading*load+p.noise*p.rng.NormFloat64())
	if e.slowed != nil {
		perEvent *= e.slowed(p.at)
	}
	kept := e.streams[:0]
	for _, s := range e.streams {
		if s.ends > p.at {
			kept = append(kept, s)
		}
	}
	e.streams = kept
	for len(e.streams) < p.streams {
		length := time.Duration((0.5 + 3*p.rng.Float64()) * float64(time.Second))
		e.streams = append(e.streams, &playStream{daemon: p.rng.IntN(len(p.meters)), ends: p.at + length})
	}
	for _, s := range e.streams {
		s.took += playStep.Seconds()
		s.events += playStep.Seconds() / perEvent
		if n := int(s.events); n >= MinRunEvents && s.took >= RunSeconds {
			d := p.meters[s.daemon].ObserveEvents(p.now(), key, s.took*float64(n)/s.events, n, load)
			if s.daemon == 0 {
				p.est.ObserveDeviation(p.now(), d)
			}
			s.events, s.took = 0, 0
		}
	}
}

func (p *play) assertUsual(t *testing.T) {
	t.Helper()
	for i, f := range p.factors {
		assert.Assert(t, f == 1, "endpoint %d at %v: %+v", i, p.at, f)
	}
}

// Guards against moving requests where endpoints are alike.
func TestEndpointsAlikeHaveFactorsOfExactly1(t *testing.T) {
	p := newPlay(60, 77, same)
	p.run(30*time.Second, func() { p.assertUsual(t) })
}

// Guards against endpoints of a slower build that get as many streams as the others.
func TestThreeSpeedsAreEstimatedWithinSeconds(t *testing.T) {
	speeds := []float64{0.7, 0.7, 1.7}
	p := newPlay(60, 77, func(i int) float64 { return speeds[i%3] })
	check := func(least, most float64) {
		t.Helper()
		for i, f := range p.factors {
			if i%3 < 2 {
				assert.Equal(t, f, 1.0, "endpoint %d", i)
				continue
			}
			assert.Assert(t, f > least && f < most, "endpoint %d at %v: %+v", i, p.at, f)
		}
	}
	for _, c := range []struct {
		after       time.Duration
		least, most float64
	}{{2 * time.Second, 0.99, 2.8}, {time.Second, 1.6, 2.8}, {20 * time.Second, 2.1, 2.75}} { // 1.7/0.7 is 2.43
		p.run(c.after, nil)
		t.Logf("at %v: %+v", p.at, p.factors[2])
		check(c.least, c.most)
	}
}

// Guards against taking a fast endpoint for a slow one since all its slots are in use.
func TestFullFastEndpointIsNotSlow(t *testing.T) {
	p := newPlay(20, 10, same)
	for i, e := range p.endpoints {
		e.load = func(at time.Duration) float64 { return 0.4 + 0.3*math.Sin(float64(at)/2e9+float64(i)) }
	}
	p.run(20*time.Second, nil)
	assert.Assert(t, math.Abs(p.est.effect.PerLoad()-playLoading) < 0.25, "%v", p.est.effect.PerLoad())
	for i, e := range p.endpoints {
		e.load = func(time.Duration) float64 { return 0.05 }
		if i == 0 {
			e.load = func(time.Duration) float64 { return 1 }
		}
	}
	p.run(10*time.Second, func() { p.assertUsual(t) })
}

// Guards against differences between endpoints that are taken for an effect of the load.
func TestLoadEffectIsLearnedWithinEndpointsOnly(t *testing.T) {
	p := newPlay(20, 10, func(i int) float64 { return 1 + float64(i%2) })
	for i, e := range p.endpoints {
		e.load = func(time.Duration) float64 { return 0.1 + 0.8*float64(i%2) } // the slow ones are full
	}
	p.run(20*time.Second, nil)
	assert.Assert(t, p.est.effect.PerLoad() < 0.05, "%v", p.est.effect.PerLoad())
	e := LoadEffect{}
	e.Observe(start, Deviation{LogEventSeconds: -1, Load: 1, Weight: 10})
	assert.Equal(t, e.PerLoad(), 0.0)
}

// spells slows an endpoint down 2.5 times for 600 ms, 15% of the time, from a random phase.
func spells(rng *rand.Rand) func(at time.Duration) float64 {
	next, ends := time.Duration(rng.Float64()*4e9), time.Duration(0)
	return func(at time.Duration) float64 {
		if at >= next {
			ends = next + time.Duration((0.4+0.4*rng.Float64())*1e9)
			next = ends + time.Duration((2.4+2*rng.Float64())*1e9)
		}
		if at < ends {
			return 2.5
		}
		return 1
	}
}

// Guards against moving requests for periods that are over before other daemons know of them.
func TestShortSlowPeriodsDoNotMoveFactors(t *testing.T) {
	p := newPlay(60, 77, same)
	for _, e := range p.endpoints {
		e.slowed = spells(p.rng)
	}
	within := func(limit float64) func() {
		return func() {
			for i, f := range p.factors {
				assert.Assert(t, f < limit && f > 1/limit, "endpoint %d at %v: %+v", i, p.at, f)
			}
		}
	}
	p.run(4*time.Second, within(Band)) // an endpoint seen in a slow period alone looks slow
	p.run(4*time.Second, within(1.1))
	p.run(time.Minute, func() { p.assertUsual(t) })

	one := newPlay(10, 5, same)
	one.mode, one.noise = ModeOn, 0
	one.run(20*time.Second, nil)
	until := one.at + 600*time.Millisecond
	one.endpoints[0].slowed = func(at time.Duration) float64 {
		if at <= until {
			return 2.5
		}
		return 1
	}
	most := 0.0
	one.run(3*time.Second, func() { most = max(most, one.factors[0]) })
	assert.Assert(t, most > 1.02 && most < 1.10, "%v", most)
}

// An endpoint that is slow for seconds must be avoided meanwhile, and serve again after it.
func TestSlowEndpointRecovers(t *testing.T) {
	p := newPlay(60, 77, same)
	p.run(10*time.Second, nil)
	until := p.at + 5*time.Second
	p.endpoints[7].slowed = func(at time.Duration) float64 {
		if at <= until {
			return 2.5
		}
		return 1
	}
	p.run(5*time.Second, nil)
	t.Logf("after 5 s: %+v", p.factors[7])
	assert.Assert(t, p.factors[7] > Band, "%+v", p.factors[7])
	p.run(8*time.Second, nil)
	p.assertUsual(t)
}

// Guards against an endpoint that stays slow because it gets no requests any more.
func TestRecoveredEndpointWithoutRequestsIsBackWithin20Seconds(t *testing.T) {
	p := newPlay(60, 77, func(i int) float64 { return []float64{1, 4}[min(i/59, 1)] })
	p.run(20*time.Second, nil)
	assert.Assert(t, p.factors[59] > 3.5, "%+v", p.factors[59])
	last := p.endpoints[59]
	p.endpoints, p.keys = p.endpoints[:59], append(p.keys[:59:59], p.keys[59])
	last.streams = nil
	p.run(6*time.Second, nil)
	assert.Assert(t, p.factors[59] > 1.5, "%+v", p.factors[59])
	p.run(14*time.Second, nil)
	p.assertUsual(t)
}

// Guards against an engine that starts again under its ID with the speed of its earlier run.
func TestRestartedEndpointIsNotSlow(t *testing.T) {
	p := newPlay(60, 77, func(i int) float64 { return []float64{1, 3}[min(i/59, 1)] })
	p.run(10*time.Second, nil)
	assert.Assert(t, p.factors[59] > 2.5)
	for _, m := range p.meters {
		m.Forget(p.keys[59])
	}
	p.est.Forget(p.keys[59])
	delete(p.others, p.keys[59])
	p.endpoints[59].factor = 1
	for _, s := range p.endpoints[59].streams {
		s.events, s.took = 0, 0
	}
	p.estimate()
	p.assertUsual(t)
	p.run(10*time.Second, func() { p.assertUsual(t) })
}

// settle returns the factors after the evidence has been there for some seconds.
func settle(e *Estimator, keys []rendezvous.ShortKey, observed func(rendezvous.ShortKey) Observation, m Mode) []float64 {
	for i := range 40 {
		e.Estimate(start.Add(time.Duration(i)*time.Second), keys, observed, false, m)
	}
	return e.Estimate(start.Add(40*time.Second), keys, observed, false, m)
}

// A daemon's first event or two must not make an endpoint slow.
func TestLittleEvidenceIsShrunk(t *testing.T) {
	m, e := NewMeter(), NewEstimator()
	keys := []rendezvous.ShortKey{1, 2, 3}
	observed := func(k rendezvous.ShortKey) Observation { return m.At(start, k) }
	for _, f := range settle(e, keys, observed, ModeOn) {
		assert.Equal(t, f, 1.0)
	}
	for range 10 {
		m.ObserveEvents(start, 1, 0.2, 5, 0)
		m.ObserveEvents(start, 2, 0.2, 5, 0)
	}
	m.ObserveEvents(start, 3, 0.2, 2, 0) // a single event isn't a run
	assert.Equal(t, settle(e, keys, observed, ModeOn)[2], 1.0)
	m.ObserveEvents(start, 3, 0.5, 5, 0)
	f := settle(e, keys, observed, ModeOn)[2]
	assert.Assert(t, f > 1 && f < 1.15, "%+v", f)
}

// Guards against a factor that changes back and forth near one edge of the band.
func TestFactorsWithinTheGapStayAsTheyWere(t *testing.T) {
	for _, sign := range []float64{-1, 1} {
		unusual := false
		at := func(factor float64) float64 {
			deviation := sign * math.Log(factor)
			unusual = isUnusual(deviation, unusual)
			return math.Pow(ModeAuto.factorOf(deviation, unusual), sign)
		}
		for _, f := range []float64{1.3, 1.45, 1.55, 1.45, 1.59} {
			assert.Assert(t, near(at(f), 1), "%v", f)
		}
		for _, f := range []float64{1.61, 1.45, 1.55, 1.45, 3} {
			assert.Assert(t, near(at(f), f), "%v", f)
		}
		assert.Assert(t, near(at(1.39), 1) && near(at(1.5), 1))
	}
}
