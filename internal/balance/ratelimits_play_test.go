package balance

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// What an endpoint with a rate limit may get in any limitWindow: limitFactor times what the
// limit allows and limitSlack more, from statedSettle after it stated the limit. Requests
// of daemons count that passed an answer with the limit on at least toldDelay before.
const (
	limitWindow  = 4 * time.Second
	limitFactor  = 1.5
	limitSlack   = 5
	statedSettle = 3 * time.Second
	toldDelay    = 500 * time.Millisecond
)

// limitPlay is a fleet of balancers that send to a few engines, the first of which states a
// rate limit.
type limitPlay struct {
	now      time.Time
	rng      *rand.Rand
	daemons  []*playDaemon
	hub      *Balancer
	interval time.Duration // between two reports of a daemon
	rate     float64       // requests a second that each daemon gets at most
	demand   float64       // the share of rate that callers ask for
	events   playEvents
	started  int // daemons, for their IDs

	limit    float64
	stated   bool
	since    time.Time
	arrivals []time.Time
	worst    float64 // most requests in a window, as a share of those allowed
	used     int     // requests to the limited engine after statedSettle

	// Called with a request to the first engine, an answer of it, and after a report; nil for none.
	onArrival func(d *playDaemon)
	onAnswer  func(d *playDaemon, c Choice)
	onReport  func(d *playDaemon)
}

type playDaemon struct {
	id       fleet.DaemonID
	balancer *Balancer
	told     time.Time // when it passed on an answer with the limit in force; zero: not yet
	sent     backpressure.Position
	received backpressure.Position
	gone     bool
}

type playEvent struct {
	at time.Time
	do func()
}

type playEvents []playEvent

func (e playEvents) Len() int           { return len(e) }
func (e playEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e playEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *playEvents) Push(x any)        { *e = append(*e, x.(playEvent)) }
func (e *playEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (p *limitPlay) in(d time.Duration, do func()) { heap.Push(&p.events, playEvent{p.now.Add(d), do}) }

func (p *limitPlay) run(until time.Duration) {
	end := start.Add(until)
	for len(p.events) > 0 && p.events[0].at.Before(end) {
		e := heap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.do()
	}
	p.now = end
}

// playAnswerTime is the time from a request to the head of its answer, and playHoldTime to
// its end.
const (
	playAnswerTime = 30 * time.Millisecond
	playHoldTime   = time.Second
)

// newLimitPlay returns a fleet whose daemons each get some requests a second.
func newLimitPlay(seed uint64, daemons int, perDaemon float64) *limitPlay {
	p := &limitPlay{now: start, rate: perDaemon, demand: 1, rng: rand.New(rand.NewPCG(seed, 2)), interval: 400 * time.Millisecond}
	if daemons > 266 {
		p.interval = 770 * time.Millisecond // with the relay between two hubs
	}
	p.hub = newTestBalancer(seed, 4)
	for range daemons {
		p.start()
	}
	p.shareAll()
	return p
}

// start starts a daemon, which gets requests and reports until it is gone.
func (p *limitPlay) start() *playDaemon {
	p.started++
	d := &playDaemon{id: fleet.DaemonID(fmt.Sprint("d", p.started)), balancer: newTestBalancer(p.rng.Uint64(), 4)}
	p.daemons = append(p.daemons, d)
	var arrive, report func()
	arrive = func() {
		if d.gone {
			return
		}
		if p.rng.Float64() < p.demand {
			p.serve(d)
		}
		p.in(time.Duration(p.rng.ExpFloat64()/p.rate*float64(time.Second)), arrive)
	}
	report = func() {
		if d.gone {
			return
		}
		p.report(d)
		p.in(p.interval, report)
	}
	p.in(time.Duration(p.rng.ExpFloat64()/p.rate*float64(time.Second)), arrive)
	p.in(time.Duration(p.rng.Int64N(int64(p.interval))), report)
	return d
}

// shareAll gives all daemons the same view of the fleet.
func (p *limitPlay) shareAll() {
	ids := p.ids()
	for _, d := range p.daemons {
		d.balancer.SetFleet(p.now, d.id, ids)
	}
}

func (p *limitPlay) ids() []fleet.DaemonID {
	var out []fleet.DaemonID
	for _, d := range p.daemons {
		out = append(out, d.id)
	}
	return out
}

// report exchanges the statements of a daemon and its hub.
func (p *limitPlay) report(d *playDaemon) {
	all, upTo := d.balancer.RateLimitsSince(d.sent)
	p.hub.MergeRateLimits(p.now, all)
	d.sent = upTo
	all, d.received = p.hub.RateLimitsSince(d.received)
	d.balancer.MergeRateLimits(p.now, all)
	d.balancer.RefreshRateLimits(p.now)
	if p.onReport != nil {
		p.onReport(d)
	}
}

// serve sends a request of a daemon's caller, unless no engine has room.
func (p *limitPlay) serve(d *playDaemon) {
	q := &Request{Service: "llm", Prompt: 600, Output: 290, Parts: []Part{{p.rng.Uint64(), 600}}}
	c, ok := d.balancer.Pick(p.now, q)
	if !ok {
		return
	}
	d.balancer.Reserve(p.now, c)
	d.balancer.Sent(q, c)
	sent := p.now
	if c.Endpoint.ID == "e0" {
		p.arrived(d)
		if p.onArrival != nil {
			p.onArrival(d)
		}
	}
	p.in(playAnswerTime, func() {
		d.balancer.FirstToken(q, c, playAnswerTime.Seconds())
		l := backpressure.Limit{}
		if c.Endpoint.ID == "e0" && p.stated {
			l = backpressure.Limit{Presence: backpressure.Valid, PerSecond: p.limit}
			if d.told.IsZero() {
				d.told = p.now
			}
		}
		d.balancer.ObserveRateLimit(p.now, sent, &c.Endpoint, l)
		if c.Endpoint.ID == "e0" && p.onAnswer != nil {
			p.onAnswer(d, c)
		}
	})
	p.in(playHoldTime, func() { d.balancer.Done(p.now, q, c, true, Answered) })
}

// arrived counts a request that the limited engine gets.
func (p *limitPlay) arrived(d *playDaemon) {
	if !p.stated {
		return
	}
	if p.now.Sub(p.since) >= statedSettle {
		p.used++
	}
	if d.told.IsZero() || p.now.Sub(d.told) < toldDelay {
		return
	}
	p.arrivals = append(p.arrivals, p.now)
	if p.now.Sub(p.since) < statedSettle {
		return
	}
	n := 0
	for _, at := range p.arrivals {
		if p.now.Sub(at) <= limitWindow {
			n++
		}
	}
	p.worst = max(p.worst, float64(n)/(limitFactor*p.limit*limitWindow.Seconds()+limitSlack))
}

// state makes the engine state a limit, until end.
func (p *limitPlay) state(limit float64) {
	p.limit, p.stated, p.since, p.arrivals, p.used = limit, true, p.now, nil, 0
	for _, d := range p.daemons {
		d.told = time.Time{}
	}
}

func (p *limitPlay) end() { p.stated = false }

// perDaemonRates are the requests that each daemon gets a second, by size of the fleet.
var perDaemonRates = map[int]float64{9: 14, 78: 8, 340: 3, 986: 1}

// Guards against daemons that follow an engine's rate limit one by one, or all start at once.
func TestRateLimitIsKeptAtAnySize(t *testing.T) {
	for _, daemons := range []int{9, 78, 340, 986} {
		for _, limit := range []float64{0.5, 1, 1.2, 4, 12, 50} {
			t.Run(fmt.Sprintf("%d daemons, %g a second", daemons, limit), func(t *testing.T) {
				p := newLimitPlay(uint64(daemons), daemons, perDaemonRates[daemons])
				p.run(2 * time.Second)
				p.state(limit)
				p.run(24 * time.Second)
				assert.Assert(t, p.worst <= 1, "%.2f of what is allowed", p.worst)
				use := float64(p.used) / (limit * 19)
				t.Logf("%.2f of what is allowed in a window, %.2f of the limit used", p.worst, use)
				assert.Assert(t, use > 0.25, "%.2f of the limit used", use)
				p.state(limit / 3)
				p.run(34 * time.Second)
				assert.Assert(t, p.worst <= 1, "a lower limit: %.2f of what is allowed", p.worst)
			})
		}
	}
}

// Guards against a limit that is exceeded where daemons leave and others take their place.
func TestRateLimitIsKeptWhileDaemonsAreReplaced(t *testing.T) {
	for _, daemons := range []int{9, 78, 340} {
		for _, limit := range []float64{0.5, 1.2, 12} {
			t.Run(fmt.Sprintf("%d daemons, %g a second", daemons, limit), func(t *testing.T) {
				p := newLimitPlay(uint64(daemons), daemons, perDaemonRates[daemons])
				p.state(limit)
				var replace func()
				replace = func() {
					i := p.rng.IntN(len(p.daemons))
					leaving := p.daemons[i]
					p.daemons = append(p.daemons[:i], p.daemons[i+1:]...)
					p.shareAll()
					p.in(500*time.Millisecond, func() { leaving.gone = true }) // its last requests
					p.in(time.Second, func() {
						p.start()
						p.shareAll()
					})
					p.in(4*time.Second, replace)
				}
				p.in(4*time.Second, replace)
				p.run(40 * time.Second)
				assert.Assert(t, p.worst <= 1, "%.2f of what is allowed", p.worst)
			})
		}
	}
}

// Guards against shares that all daemons save while demand is low, and then use at once.
func TestRateLimitIsKeptThroughAJumpInDemand(t *testing.T) {
	for _, daemons := range []int{9, 78, 340, 986} {
		for _, limit := range []float64{0.5, 1.2, 12, 50} {
			t.Run(fmt.Sprintf("%d daemons, %g a second", daemons, limit), func(t *testing.T) {
				p := newLimitPlay(uint64(daemons), daemons, perDaemonRates[daemons])
				p.state(limit)
				p.run(4 * time.Second)
				p.demand = 0.01
				p.run(30 * time.Second)
				p.demand = 1
				p.run(36 * time.Second)
				assert.Assert(t, p.worst <= 1, "%.2f of what is allowed", p.worst)
			})
		}
	}
}

// Guards against a limit that never ends for the daemons that send nothing to the engine.
func TestEndOfARateLimitReachesAllDaemons(t *testing.T) {
	for _, daemons := range []int{9, 78, 340, 986} {
		p := newLimitPlay(uint64(daemons), daemons, perDaemonRates[daemons])
		p.state(1)
		p.run(10 * time.Second)
		p.end()
		p.run(17 * time.Second)
		for _, d := range p.daemons {
			assert.Equal(t, d.balancer.RateLimited(), 0, "%d daemons: %s", daemons, d.id)
		}
	}
}

// Guards against a limit of an engine's earlier run that is applied to the next one.
func TestRestartedEngineHasNoRateLimit(t *testing.T) {
	b := newTestBalancer(1, 1)
	b.SetFleet(start, "d1", []fleet.DaemonID{"d1"})
	e := roster.Endpoint{ID: "e0", Service: "llm", Slots: 48, StartedAt: start.Add(-time.Minute)}
	b.SetEndpoints(start, []roster.Endpoint{e})
	assert.Assert(t, b.ObserveRateLimit(start, start, &e, backpressure.Limit{Presence: backpressure.Valid, PerSecond: 0.1}))
	assert.Equal(t, b.RateLimited(), 1)
	earlier := e
	e.StartedAt = start
	b.SetEndpoints(start, []roster.Endpoint{e})
	assert.Equal(t, b.RateLimited(), 0)
	b.ObserveRateLimit(start.Add(time.Second), start, &earlier, backpressure.Limit{Presence: backpressure.Valid, PerSecond: 0.1})
	assert.Equal(t, b.RateLimited(), 0) // a late answer of the earlier run
	assert.Assert(t, b.ObserveRateLimit(start.Add(time.Second), start, &e, backpressure.Limit{Presence: backpressure.Valid, PerSecond: 2}))
	assert.Equal(t, b.RateLimited(), 1)
}

// Guards against a prefix without a home while its home has a rate limit.
func TestRateLimitedHomeIsReplaced(t *testing.T) {
	b := newTestBalancer(1, 18)
	b.SetFleet(start, "d1", []fleet.DaemonID{"d1"})
	first, _ := b.Pick(start, requestWithPrefix(7))
	b.ObserveRateLimit(start, start, &first.Endpoint, backpressure.Limit{Presence: backpressure.Valid, PerSecond: 0.1})
	second, ok := b.Pick(start, requestWithPrefix(7))
	assert.Assert(t, ok && second.Home)
	assert.Assert(t, second.Endpoint.ID != first.Endpoint.ID)
}

// Guards against a refusal without the time at which an engine has room again.
func TestRefusalTellsWhenALimitedEngineHasRoom(t *testing.T) {
	b := newTestBalancer(1, 1)
	b.SetFleet(start, "d1", []fleet.DaemonID{"d1"})
	q := requestWithPrefix(7)
	c, _ := b.Pick(start, q)
	b.ObserveRateLimit(start, start, &c.Endpoint, backpressure.Limit{Presence: backpressure.Valid, PerSecond: 0.5})
	_, ok := b.Pick(start, q)
	assert.Assert(t, !ok)
	wait, limited := b.LimitWait(start, q)
	assert.Assert(t, limited && wait > 0 && wait <= 2*time.Second, "%v", wait)
	_, ok = b.Pick(start.Add(wait), q)
	assert.Assert(t, ok)
}
