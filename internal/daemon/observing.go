package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/endpoint"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// pollsPerSecond bounds the polls of engines by one daemon, whatever their
// number: a poll of load and cache events costs about 1 KB, and a daemon may
// spend 7 KB a second for control.
const pollsPerSecond = 20

// observingDuty polls engines for their load and cache events, in turn.
type observingDuty struct {
	client  *endpoint.Engines
	routing *routingDuty
	every   time.Duration // between two polls of one engine, at least
	next    int           // in the list of engines
	mu      sync.Mutex
	since   map[fleet.EndpointID]uint64
	loads   map[fleet.EndpointID]engineapi.Load // the newest report of each
}

func newObservingDuty(client *endpoint.Engines, r *routingDuty, every time.Duration) *observingDuty {
	return &observingDuty{
		client:  client,
		routing: r,
		every:   every,
		since:   make(map[fleet.EndpointID]uint64),
		loads:   make(map[fleet.EndpointID]engineapi.Load),
	}
}

// run polls until ctx ends: few engines often, many of them each less often.
func (d *observingDuty) run(ctx context.Context) {
	for ctx.Err() == nil {
		list := engineEndpoints(d.routing.current.Load().list)
		pause := d.every
		if n := len(list); n > 0 {
			pause = max(d.every/time.Duration(n), time.Second/pollsPerSecond)
			d.next = (d.next + 1) % n
			go d.poll(ctx, list[d.next])
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (d *observingDuty) poll(ctx context.Context, e fleet.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, d.every)
	defer cancel()
	load, err := d.client.Load(ctx, e.Address)
	if err != nil {
		return // an engine's silence is judged by requests and probes
	}
	d.routing.reportLoad(e.ID, load)
	d.mu.Lock()
	d.loads[e.ID] = load
	since := d.since[e.ID]
	d.mu.Unlock()
	events, err := d.client.CacheEvents(ctx, e.Address, since)
	if err != nil {
		return
	}
	d.mu.Lock()
	d.since[e.ID] = events.Next
	d.mu.Unlock()
	d.routing.reportCache(e.ID, events)
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
