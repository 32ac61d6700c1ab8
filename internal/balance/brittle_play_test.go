package balance

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// brittlePlay is a fleet of balancers before brittle engines: each takes slots requests,
// lets queue more wait, and crashes when it rejects more than limit in a second.
type brittlePlay struct {
	now      time.Time
	rng      *rand.Rand
	events   playEvents
	daemons  []*brittleDaemon
	engines  []*brittleEngine
	byID     map[fleet.EndpointID]*brittleEngine
	loads    map[fleet.DaemonID]Loads // as last reported
	sum      Loads                    // of all, as of summedAt
	summedAt time.Time
	stated   bool
	since    time.Time // when the engines first stated their limit
	limit    int
	hold     time.Duration // of a request
	interval time.Duration // between two load reports of a daemon
	retries  int           // of a caller whose request was refused
	falls    int
	served   int
	refused  int
}

type brittleDaemon struct {
	id       fleet.DaemonID
	balancer *Balancer
}

type brittleEngine struct {
	roster.Endpoint
	queue      int
	up         bool
	run        int
	held       int
	rejections []time.Time
}

func (p *brittlePlay) in(d time.Duration, do func()) {
	heap.Push(&p.events, playEvent{p.now.Add(d), do})
}

func (p *brittlePlay) runUntil(until time.Duration) {
	end := start.Add(until)
	for len(p.events) > 0 && p.events[0].at.Before(end) {
		e := heap.Pop(&p.events).(playEvent)
		p.now = e.at
		e.do()
	}
	p.now = end
}

// brittleCase is a deployment, with its load as a share of what its engines can run.
type brittleCase struct {
	daemons, engines, slots, queue int
	hold                           time.Duration
	load                           float64
}

func newBrittlePlay(seed uint64, c brittleCase) *brittlePlay {
	p := &brittlePlay{now: start, rng: rand.New(rand.NewPCG(seed, 3)), loads: map[fleet.DaemonID]Loads{}, byID: map[fleet.EndpointID]*brittleEngine{}, hold: c.hold}
	p.interval = max(250*time.Millisecond, time.Duration(c.daemons)*8*time.Millisecond)
	for i := range c.engines {
		e := &brittleEngine{queue: c.queue, up: true}
		e.Endpoint = roster.Endpoint{ID: fleet.EndpointID(fmt.Sprint("e", i)), Service: "s", Slots: c.slots, DataCentre: fleet.DataCentre("abcd"[i%4 : i%4+1]), StartedAt: start}
		p.engines = append(p.engines, e)
		p.byID[e.ID] = e
	}
	var ids []fleet.DaemonID
	for i := range c.daemons {
		ids = append(ids, fleet.DaemonID(fmt.Sprint("d", i)))
	}
	perSecond := c.load * float64(c.engines*c.slots) / c.hold.Seconds()
	for _, id := range ids {
		d := &brittleDaemon{id: id, balancer: New("a", rand.New(rand.NewPCG(p.rng.Uint64(), 1)))}
		d.balancer.Configure(route.New(route.Table{Services: []route.Service{{Name: "s", Engine: &route.Engine{Slots: c.slots, CacheTokens: 700_000}}}}))
		d.balancer.SetFleet(p.now, id, ids)
		d.balancer.SetEndpoints(p.now, p.list())
		p.daemons = append(p.daemons, d)
		p.startDaemon(d, perSecond/float64(c.daemons))
	}
	return p
}

func (p *brittlePlay) list() []roster.Endpoint {
	var out []roster.Endpoint
	for _, e := range p.engines {
		out = append(out, e.Endpoint)
	}
	return out
}

func (p *brittlePlay) startDaemon(d *brittleDaemon, perSecond float64) {
	var arrive, report func()
	arrive = func() {
		p.call(d, 0)
		p.in(time.Duration(p.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	report = func() {
		p.loads[d.id] = d.balancer.OwnLoads()
		if p.sum == nil || p.now.Sub(p.summedAt) > 50*time.Millisecond {
			p.sumLoads()
		}
		others := maps.Clone(p.sum)
		for key, l := range p.loads[d.id] {
			others[key] = Load{Requests: max(others[key].Requests-l.Requests, 0)}
		}
		d.balancer.SetOthers(others)
		p.in(p.interval, report)
	}
	p.in(time.Duration(p.rng.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	p.in(time.Duration(p.rng.Int64N(int64(p.interval))), report)
}

// sumLoads sums the daemons' last reports, as a hub does.
func (p *brittlePlay) sumLoads() {
	p.sum, p.summedAt = Loads{}, p.now
	for _, loads := range p.loads {
		for key, l := range loads {
			p.sum[key] = Load{Requests: p.sum[key].Requests + l.Requests}
		}
	}
}

// call serves a caller's request, which comes again once after a refusal.
func (p *brittlePlay) call(d *brittleDaemon, again int) {
	q := &Request{Service: "s", Prompt: 600, Output: 100, Parts: []Part{{p.rng.Uint64N(12) + 1, 400}, {p.rng.Uint64(), 200}}}
	p.attempt(d, q, 0, func() {
		if again < p.retries {
			p.in(300*time.Millisecond, func() { p.call(p.daemons[p.rng.IntN(len(p.daemons))], again+1) })
			return
		}
		p.refused++
	})
}

func (p *brittlePlay) attempt(d *brittleDaemon, q *Request, tries int, refuse func()) {
	c, ok := d.balancer.Pick(p.now, q)
	if !ok || tries == 3 {
		refuse()
		return
	}
	d.balancer.Reserve(p.now, c)
	d.balancer.Sent(q, c)
	e := p.byID[c.Endpoint.ID]
	done := func(after time.Duration, o Outcome, next func()) {
		p.in(after, func() {
			if o != Unreachable && o != Failed {
				p.observe(d, e)
			}
			d.balancer.Done(p.now, q, c, o == Answered, o)
			next()
		})
	}
	retry := func() {
		q.Tried = append(q.Tried, c.Endpoint.ID)
		p.attempt(d, q, tries+1, refuse)
	}
	switch {
	case !e.up:
		done(2*time.Millisecond, Unreachable, retry)
	case e.held >= e.Slots+e.queue:
		p.reject(e)
		done(2*time.Millisecond, Refused, retry)
	default:
		e.held++
		run := e.run
		p.in(20*time.Millisecond, func() { p.observe(d, e) })
		length := time.Duration((0.7 + 0.6*p.rng.Float64()) * float64(p.hold))
		p.in(length, func() {
			if e.run == run {
				e.held--
				p.served++
				d.balancer.Done(p.now, q, c, true, Answered)
				return
			}
			d.balancer.Done(p.now, q, c, true, Failed)
		})
	}
}

// observe lets a daemon read the limit in an engine's answer.
func (p *brittlePlay) observe(d *brittleDaemon, e *brittleEngine) {
	l := backpressure.Limit{}
	if p.stated && e.up {
		l = backpressure.Limit{Presence: backpressure.Valid, PerSecond: float64(p.limit)}
	}
	d.balancer.ObserveRejectionLimit(p.now, "s", l)
}

// reject counts a rejection. An engine that crashes is back after four seconds.
func (p *brittlePlay) reject(e *brittleEngine) {
	e.rejections = append(e.rejections, p.now)
	n := 0
	for _, at := range e.rejections {
		if p.now.Sub(at) <= time.Second {
			n++
		}
	}
	if !p.stated || p.now.Sub(p.since) < statedSettle || n <= p.limit {
		return
	}
	p.falls++
	e.up, e.held, e.rejections = false, 0, nil
	e.run++
	p.in(4*time.Second, func() {
		e.up, e.StartedAt = true, p.now
		p.in(300*time.Millisecond, func() {
			for _, d := range p.daemons {
				d.balancer.SetEndpoints(p.now, p.list())
			}
		})
	})
}

// brittleCases are deployments of each size under half, nearly full and excessive load.
func brittleCases() []brittleCase {
	out := []brittleCase{{986, 100, 16, 2, 2 * time.Second, 0.9}}
	for _, load := range []float64{0.5, 0.9, 2} {
		out = append(out,
			brittleCase{9, 18, 64, 4, 2 * time.Second, load},
			brittleCase{9, 4, 6, 2, 60 * time.Millisecond, load},
			brittleCase{78, 60, 16, 2, 2 * time.Second, load},
			brittleCase{78, 12, 6, 2, 100 * time.Millisecond, load},
			brittleCase{340, 100, 12, 2, 2 * time.Second, load},
		)
	}
	return out
}

// Guards against a fleet that fills the same room of an engine twice.
func TestBrittleEnginesSurviveAtAnySize(t *testing.T) {
	for _, c := range brittleCases() {
		t.Run(fmt.Sprintf("%d daemons, %d engines of %d, load %g", c.daemons, c.engines, c.slots, c.load), func(t *testing.T) {
			p := newBrittlePlay(7, c)
			p.limit, p.retries = 4, 1
			warmUp := 4 * time.Second
			p.runUntil(warmUp)
			p.stated, p.since = true, p.now
			for _, e := range p.engines {
				e.queue = 0 // they may let fewer wait
			}
			p.runUntil(warmUp + statedSettle)
			p.served, p.refused = 0, 0
			p.runUntil(warmUp + statedSettle + 8*time.Second)
			capacity := float64(c.engines*c.slots) / c.hold.Seconds() * 8
			t.Logf("%d falls, %.2f of the capacity used, %d refused, %d served", p.falls, float64(p.served)/capacity, p.refused, p.served)
			assert.Assert(t, float64(p.falls) <= 2+float64(c.engines)/10, "%d falls", p.falls)
		})
	}
}
