package daemon

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/dispatch"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

const (
	// routingRing takes the events of a burst: a few for each request that a
	// daemon may hold.
	routingRing = 4096
	// routingTick is how often due probes are looked for.
	routingTick = 250 * time.Millisecond
)

// endpoints is an immutable snapshot of the instance list's endpoints.
type endpoints struct {
	list []fleet.Endpoint
	byID map[fleet.EndpointID]*fleet.Endpoint
}

// routingDuty owns the router.
type routingDuty struct {
	*owner[*routing.Router]
	current atomic.Pointer[endpoints]
	probe   func(ctx context.Context, address string) error
	used    func(fleet.EndpointID) // called with each dispatch
	ctx     context.Context
	log     *logrus.Entry
}

var _ dispatch.Router = (*routingDuty)(nil)

func newRoutingDuty(s *settings.Settings, probe func(context.Context, string) error, log *logrus.Entry) *routingDuty {
	config := routing.Config{Policy: routing.PolicyName(s.Routing.Policy), Region: s.Region}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	d := &routingDuty{
		owner: newOwner("routing", routingRing, routing.New(config, s.DataCentre, rng)),
		probe: probe,
		log:   log,
	}
	d.current.Store(&endpoints{})
	return d
}

func (d *routingDuty) start(ctx context.Context) {
	d.ctx = ctx
	go d.run(ctx, routingTick, func(now time.Time, r *routing.Router) {
		for _, a := range r.Probes(now, nil) {
			d.act(a)
		}
	})
}

// setEndpoints takes a new answer of the instance list.
func (d *routingDuty) setEndpoints(list []fleet.Endpoint) {
	next := &endpoints{list: list, byID: make(map[fleet.EndpointID]*fleet.Endpoint, len(list))}
	for i := range list {
		next.byID[list[i].ID] = &list[i]
	}
	d.current.Store(next)
	d.tell(func(now time.Time, r *routing.Router) { r.SetEndpoints(now, list) })
}

// Pick implements dispatch.Router. A full ring counts as no endpoint, since nothing was sent.
func (d *routingDuty) Pick(q *routing.Request) (routing.Choice, error) {
	var choice routing.Choice
	err := error(routing.NoEndpoint{Cause: routing.NotServed})
	d.ask(func(now time.Time, r *routing.Router) { choice, err = r.Pick(now, q) })
	return choice, err
}

// Address implements dispatch.Router.
func (d *routingDuty) Address(id fleet.EndpointID) (string, bool) {
	e, ok := d.current.Load().byID[id]
	if !ok {
		return "", false
	}
	return e.Address, true
}

// Dispatched implements dispatch.Router.
func (d *routingDuty) Dispatched(id fleet.EndpointID, q *routing.Request, c routing.Choice) {
	d.used(id)
	d.tell(func(now time.Time, r *routing.Router) { r.Dispatched(now, id, q, c) })
}

// FirstToken implements dispatch.Router.
func (d *routingDuty) FirstToken(id fleet.EndpointID, request fleet.RequestID) {
	d.tell(func(now time.Time, r *routing.Router) { r.FirstToken(now, id, request) })
}

// Finished implements dispatch.Router.
func (d *routingDuty) Finished(id fleet.EndpointID, request fleet.RequestID, o routing.Outcome) {
	d.tell(func(now time.Time, r *routing.Router) { r.Finished(now, id, request, o) })
}

// Connected implements dispatch.Router.
func (d *routingDuty) Connected(id fleet.EndpointID) {
	d.tell(func(now time.Time, r *routing.Router) { d.act(r.ProbeOK(now, id)) })
}

// Stalled implements dispatch.Router.
func (d *routingDuty) Stalled(id fleet.EndpointID) {
	d.tell(func(now time.Time, r *routing.Router) { d.act(r.Stalled(now, id)) })
}

// DialFailed implements dispatch.Router.
func (d *routingDuty) DialFailed(id fleet.EndpointID) {
	d.tell(func(now time.Time, r *routing.Router) { d.act(r.DialFailed(now, id)) })
}

// notice says that an endpoint leaves.
func (d *routingDuty) notice(id fleet.EndpointID, leaveAt time.Time) {
	d.tell(func(now time.Time, r *routing.Router) { r.Notice(now, id, leaveAt) })
}

func (d *routingDuty) reportLoad(id fleet.EndpointID, l engineapi.Load) {
	d.hint(func(now time.Time, r *routing.Router) { r.ReportLoad(now, id, l) })
}

func (d *routingDuty) reportCache(id fleet.EndpointID, e engineapi.CacheEvents) {
	d.hint(func(now time.Time, r *routing.Router) { r.ReportCache(now, id, e) })
}

// act carries out the router's answer to a health event. It runs on the
// owner's goroutine, so a probe gets one of its own.
func (d *routingDuty) act(a routing.Action) {
	switch a.Kind {
	case routing.Probe:
		go d.runProbe(a)
	case routing.Eject:
		d.log.WithField("endpoint", a.Endpoint).Warn("endpoint ejected: new connections fail")
	case routing.Restore:
		d.log.WithField("endpoint", a.Endpoint).Info("endpoint is back")
	}
}

func (d *routingDuty) runProbe(a routing.Action) {
	if err := d.probe(d.ctx, a.Address); err != nil {
		d.DialFailed(a.Endpoint)
		return
	}
	d.Connected(a.Endpoint)
}
