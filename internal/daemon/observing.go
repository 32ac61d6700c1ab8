package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/endpoint"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Bytes of a poll's messages with their HTTP heads, from BenchmarkPoll of
// package scale. They are added up in place of a count, since polls share
// their connections with requests.
const (
	loadAskBytes      = 80
	loadAnswerBytes   = 279
	eventsAskBytes    = 101
	eventsAnswerBytes = 135 // without events
	eventBytes        = 59
)

// observingDuty polls engines for their load and, in small fleets, their cache
// events. It uses the requests' connections on purpose: a poll that goes silent
// retires the connections of that age before a request waits on one.
type observingDuty struct {
	client  *endpoint.Engines
	routing *routingDuty
	every   time.Duration // between two polls of one engine, at least
	decides func() bool   // this daemon places or buys for the whole fleet
	bytes   byteCount
	mu      sync.Mutex
	plan    *pollPlan
	since   map[fleet.EndpointID]uint64
	loads   map[fleet.EndpointID]engineapi.Load // the newest report of each
}

func newObservingDuty(client *endpoint.Engines, r *routingDuty, every time.Duration) *observingDuty {
	return &observingDuty{
		client:  client,
		routing: r,
		every:   every,
		decides: func() bool { return false },
		plan:    newPollPlan(every),
		since:   make(map[fleet.EndpointID]uint64),
		loads:   make(map[fleet.EndpointID]engineapi.Load),
	}
}

// run polls until ctx ends.
func (d *observingDuty) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-time.After(d.pollNext(ctx)):
		case <-ctx.Done():
		}
	}
}

// pollNext polls an engine and returns the time to wait before the next poll.
func (d *observingDuty) pollNext(ctx context.Context) time.Duration {
	list := engineEndpoints(d.routing.current.Load().list)
	full := d.decides()
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(list) > 0 {
		e := list[d.plan.pick(time.Now(), list, full)]
		go d.poll(ctx, e, d.plan.few(len(list)))
	}
	return d.plan.pause(len(list), full)
}

func (d *observingDuty) poll(ctx context.Context, e fleet.Endpoint, withEvents bool) {
	ctx, cancel := context.WithTimeout(ctx, d.every)
	defer cancel()
	d.bytes.out.Add(loadAskBytes)
	load, err := d.client.Load(ctx, e.Address)
	if err != nil {
		return // an engine's silence is judged by requests and probes
	}
	d.bytes.in.Add(loadAnswerBytes)
	d.routing.reportLoad(e.ID, load)
	d.mu.Lock()
	d.loads[e.ID] = load
	d.mu.Unlock()
	if withEvents {
		d.pollEvents(ctx, e)
	}
}

// pollEvents requests cache events. In large fleets no daemon does: each engine's
// events grow with the whole fleet's requests to it, thousands of bytes a
// second, and daemons agree on an owner for each prefix without them.
func (d *observingDuty) pollEvents(ctx context.Context, e fleet.Endpoint) {
	d.mu.Lock()
	since := d.since[e.ID]
	d.mu.Unlock()
	d.bytes.out.Add(eventsAskBytes)
	events, err := d.client.CacheEvents(ctx, e.Address, since)
	if err != nil {
		return
	}
	d.bytes.in.Add(uint64(eventsAnswerBytes + eventBytes*len(events.Events)))
	d.mu.Lock()
	d.since[e.ID] = events.Next
	d.mu.Unlock()
	d.routing.reportCache(e.ID, events)
}

// dispatched notes that this daemon uses an engine.
func (d *observingDuty) dispatched(id fleet.EndpointID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.plan.dispatched(time.Now(), id)
}

// load returns an engine's newest report, if there is one.
func (d *observingDuty) load(id fleet.EndpointID) (engineapi.Load, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l, ok := d.loads[id]
	return l, ok
}

// forget drops what is known of engines that are no longer listed.
func (d *observingDuty) forget(listed map[fleet.EndpointID]*fleet.Endpoint) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.loads {
		if listed[id] == nil {
			delete(d.loads, id)
			delete(d.since, id)
		}
	}
	d.plan.forget(listed)
}

func engineEndpoints(list []fleet.Endpoint) []fleet.Endpoint {
	out := make([]fleet.Endpoint, 0, len(list))
	for _, e := range list {
		if e.Kind == fleet.EngineEndpoint && e.State == fleet.Live {
			out = append(out, e)
		}
	}
	return out
}
