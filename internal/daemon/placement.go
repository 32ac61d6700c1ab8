package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/endpoint"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/placement"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

const (
	// placementDuty names the lease; one daemon places the whole fleet's
	// models: a plan for 690 engines takes a millisecond.
	placementDuty  = "placement"
	placementShard = 0
	// placementInterval is the longest time between two plans.
	placementInterval = 2 * time.Second
	// placementLeast is the shortest.
	placementLeast = 50 * time.Millisecond
	// weightRate is assumed of the weight store, bytes a second.
	weightRate = 2 << 30
	// defaultWeightBytes is assumed of a model that the weight store could not
	// be asked about.
	defaultWeightBytes = 16 << 30
	// defaultTokenMillis is assumed of an engine that has not reported.
	defaultTokenMillis = 34
)

// placer loads and unloads models by orders to the engines, while it holds the
// lease.
type placer struct {
	planner       *placement.Planner
	leases        *leasingDuty
	routing       *routingDuty
	observing     *observingDuty
	engines       *endpoint.Engines
	weights       outside.Weights
	configuration *configurationDuty
	room          int // models that an engine holds at once
	bytes         map[fleet.ModelRef]int64
	log           *logrus.Entry
}

// run plans while the lease is held. A later holder starts from what engines
// report.
func (p *placer) run(ctx context.Context) {
	p.leases.whileHeld(ctx, placementDuty, placementInterval, p.work, func() { p.planner = nil })
}

// work plans as often as the plans ask for, until the next regular one. The
// weight store gives out small adapters many times a second: one load for each
// interval would take half an hour to bring a version to all of 690 engines.
func (p *placer) work(ctx context.Context) {
	end := time.Now().Add(placementInterval)
	for again := p.plan(ctx); !again.IsZero() && again.Before(end); again = p.plan(ctx) {
		select {
		case <-time.After(max(time.Until(again), placementLeast)):
		case <-ctx.Done():
			return
		}
	}
}

// plan carries a plan out and returns when it wants the next one, zero when
// only news matter.
func (p *placer) plan(ctx context.Context) time.Time {
	list := p.routing.current.Load().list
	permit := p.leases.permit(placementDuty, placementShard)
	if wait := permit.waitOut(); wait > 0 && slices.ContainsFunc(list, unfenced) {
		// Orders that can't leave yet would count as given for ten seconds.
		return time.Now().Add(wait)
	}
	if p.planner == nil {
		p.planner = placement.New(placement.DefaultConfig(p.engineRate(list), weightRate))
	}
	now := time.Now()
	result := p.planner.Plan(now, p.wants(ctx, list), p.reports(list))
	for _, o := range result.Orders {
		p.order(ctx, permit, o)
	}
	for _, m := range result.Unplaced {
		p.log.WithField("model", m.Model).Warn("no engine has room")
	}
	return result.NextPlan
}

func unfenced(e fleet.Endpoint) bool { return e.Kind == fleet.EngineEndpoint && !e.Fences }

// order gives one order, if the lease still allows it at this moment.
func (p *placer) order(ctx context.Context, permit permit, o placement.Order) {
	e, ok := p.routing.current.Load().byID[o.Engine]
	if !ok {
		return
	}
	ask := permit.order
	if !e.Fences {
		ask = permit.orderUnfenced
	}
	fencing, deadline, ok := ask()
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := p.engines.Order(ctx, e.Address, engineapi.Order{
		Fencing: fencing,
		Kind:    o.Kind,
		Model:   o.Model,
		Role:    o.Role,
		Holder:  string(p.leases.self),
	})
	entry := p.log.WithField("endpoint", o.Engine).WithField("model", o.Model.Model).WithField("version", o.Model.Version)
	if err != nil {
		entry.WithError(err).Warnf("order to %s failed", o.Kind)
		p.planner.Failed(time.Now(), placement.Replica{Engine: o.Engine, Model: o.Model})
		return
	}
	entry.Infof("ordered to %s", o.Kind)
}

// engineRate is the work of one engine, in generated tokens a second, as the
// engines report it.
func (p *placer) engineRate(list []fleet.Endpoint) float64 {
	sum, n := 0.0, 0
	for _, e := range list {
		if load, ok := p.observing.load(e.ID); ok && load.TokenMillis > 0 {
			sum += float64(load.Slots) * 1000 / load.TokenMillis
			n++
		}
	}
	if n == 0 {
		return slotsPerEngine * 1000 / defaultTokenMillis
	}
	return sum / float64(n)
}

// wants returns what the templates ask for, with the load that engines report.
func (p *placer) wants(ctx context.Context, list []fleet.Endpoint) []placement.Want {
	models := p.configuration.snapshot.Load().Models
	out := make([]placement.Want, 0, len(models))
	for _, m := range models {
		out = append(out, placement.Want{
			Model: m.Ref,
			Load:  p.load(list, m),
			Min:   m.MinReplicas,
			Bytes: p.weightBytes(ctx, m.Ref),
		})
	}
	useIdle(out, list)
	return out
}

// load is the tokens a second that engines with the model or another version
// of it generate now. An engine's report does not split them by model.
func (p *placer) load(list []fleet.Endpoint, m template.Model) float64 {
	any := fleet.ModelRef{Model: m.Ref.Model, Adapter: m.Ref.Adapter}
	sum := 0.0
	for _, e := range list {
		load, ok := p.observing.load(e.ID)
		if ok && load.TokenMillis > 0 && holds(e.Models, any) {
			sum += float64(load.Running) * 1000 / load.TokenMillis / float64(len(e.Models))
		}
	}
	return sum
}

func holds(models []fleet.ModelRef, want fleet.ModelRef) bool {
	for _, m := range models {
		if m.Satisfies(want) {
			return true
		}
	}
	return false
}

// weightBytes asks the weight store once for each model.
func (p *placer) weightBytes(ctx context.Context, m fleet.ModelRef) int64 {
	if n, ok := p.bytes[m]; ok {
		return n
	}
	w, err := p.weights.Fetch(ctx, m)
	if err != nil {
		return defaultWeightBytes
	}
	p.bytes[m] = w.Bytes
	return w.Bytes
}

// reports describes the engines. Running is left at 0: an engine lets the
// streams of a model that it unloads run to their end.
func (p *placer) reports(list []fleet.Endpoint) []placement.Engine {
	var out []placement.Engine
	for _, e := range list {
		if e.Kind != fleet.EngineEndpoint {
			continue
		}
		r := placement.Engine{ID: e.ID, DataCentre: e.DataCentre, Capacity: p.room, Leaving: e.State != fleet.Live}
		for _, m := range e.Models {
			r.Holds = append(r.Holds, placement.Held{Model: m, Ready: true})
		}
		out = append(out, r)
	}
	return out
}
