package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/capacity"
	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
)

const (
	// capacityDuty names the lease, capacityKind the record of what is wanted.
	capacityDuty  = "capacity"
	capacityShard = 0
	capacityKind  = "capacity"
	capacityName  = "fleet"
	// capacityInterval is the time between two looks at the cloud.
	capacityInterval = 5 * time.Second
	// stuckStarts is after how many start times an instance that isn't ready
	// is given back.
	stuckStarts = 5
)

// buyer buys and gives back engine instances while it holds the lease.
type buyer struct {
	daemon    *Daemon
	planner   *capacity.Planner
	config    capacity.Config
	leases    *leasingDuty
	objects   outside.Objects
	cloud     outside.Cloud
	operators *operators
	draining  map[fleet.InstanceID]time.Time // engines that drain to be given back, since when
	log       *logrus.Entry
}

func newBuyer(d *Daemon, s settings.Capacity) *buyer {
	classes := make([]capacity.Class, 0, len(s.Classes))
	for _, c := range s.Classes {
		classes = append(classes, capacity.Class{Name: c.Name, Rate: c.TokensPerSecond})
	}
	config := capacity.DefaultConfig(classes)
	config.StartTime = s.StartTime
	config.StuckTime = stuckStarts * s.StartTime
	config.Patience = s.Patience
	config.KeepFor = s.KeepFor
	return &buyer{
		daemon:    d,
		config:    config,
		leases:    d.leasing,
		objects:   d.platform.Objects.As(budget.Configuration),
		cloud:     d.platform.Cloud,
		operators: d.operators,
		draining:  make(map[fleet.InstanceID]time.Time),
	}
}

func (b *buyer) run(ctx context.Context) {
	b.leases.whileHeld(ctx, capacityDuty, capacityInterval, b.try, func() { b.planner = nil })
}

func (b *buyer) try(ctx context.Context) {
	if err := b.plan(ctx); err != nil && ctx.Err() == nil {
		b.log.WithError(err).Warn("no plan made")
	}
}

// plan reads the cloud's list, then the record: only a record that is newer
// than the list proves that an instance isn't wanted.
func (b *buyer) plan(ctx context.Context) error {
	if b.planner == nil {
		rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		b.planner = capacity.New(capacityName, b.config, rng)
	}
	in := capacity.Input{ListedAt: time.Now()}
	instances, err := b.cloud.Instances(ctx)
	if err != nil {
		return err
	}
	b.forgetDrained(instances)
	if in.Prices, err = b.cloud.Prices(ctx); err != nil {
		return err
	}
	in.RecordReadAt = time.Now()
	object, err := b.read(ctx)
	if err != nil {
		return err
	}
	if len(object.Value) > 0 {
		if err := json.Unmarshal(object.Value, &in.Record); err != nil {
			return Error.Wrap(err)
		}
	}
	list := b.daemon.routing.current.Load().list
	in.Owned = owned(instances, list)
	in.Demand = b.demand(list, instances)
	result := b.planner.Plan(time.Now(), in)
	return b.carryOut(ctx, object.Version, result)
}

func (b *buyer) read(ctx context.Context) (objectapi.Object, error) {
	object, err := b.objects.Get(ctx, capacityKind, capacityName)
	var missing *outside.NotFound
	if errors.As(err, &missing) {
		return objectapi.Object{}, nil
	}
	return object, err
}

// carryOut records what is wanted before anything is bought for it.
func (b *buyer) carryOut(ctx context.Context, version uint64, r capacity.Result) error {
	if r.Changed && !b.write(ctx, version, r.Record) {
		for _, l := range r.Launches {
			b.planner.Lost(time.Now(), l)
		}
		return Error.New("the record was not written")
	}
	permit := b.leases.permit(capacityDuty, capacityShard)
	for _, l := range r.Launches {
		b.launch(ctx, permit, l)
	}
	for _, g := range r.GiveBacks {
		b.giveBack(ctx, permit, g)
	}
	if r.Shortfall > 0 {
		b.log.Warnf("no offer for %.0f tokens a second", r.Shortfall)
	}
	return nil
}

func (b *buyer) write(ctx context.Context, version uint64, r capacity.Record) bool {
	value, err := json.Marshal(r)
	if err != nil {
		return false
	}
	mine := func(o objectapi.Object) bool { return string(o.Value) == string(value) }
	var w outside.WriteResult
	if version == 0 {
		w = b.objects.CreateOrReadBack(ctx, capacityKind, capacityName, value, mine)
	} else {
		w = b.objects.UpdateOrReadBack(ctx, capacityKind, capacityName, value, version, mine)
	}
	return w.State == outside.WriteAccepted
}

func (b *buyer) launch(ctx context.Context, permit permit, l cloudapi.Launch) {
	_, deadline, ok := permit.order()
	if !ok {
		b.planner.Lost(time.Now(), l)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	i, err := b.cloud.Launch(ctx, l)
	var refused *outside.MarketRefusal
	entry := b.log.WithField("class", l.Class).WithField("dataCentre", l.DataCentre)
	switch {
	case err == nil:
		entry.WithField("instance", i.ID).Info("instance bought")
		b.planner.Launched(time.Now(), l, i.ID)
	case errors.As(err, &refused):
		entry.Infof("start refused: %s", refused.Reason)
		b.planner.Refused(time.Now(), l)
	default:
		entry.WithError(err).Warn("launch unanswered")
		b.planner.Lost(time.Now(), l)
	}
}

// owned joins the cloud's list with what serves.
func owned(instances []cloudapi.Instance, list []fleet.Endpoint) []capacity.Owned {
	endpoints := make(map[fleet.InstanceID]*fleet.Endpoint, len(list))
	for i := range list {
		endpoints[list[i].Instance] = &list[i]
	}
	out := make([]capacity.Owned, 0, len(instances))
	for _, i := range instances {
		o := capacity.Owned{Instance: i}
		if e, ok := endpoints[i.ID]; ok {
			o.Ready = e.State == fleet.Live && len(e.Models) > 0
			if e.LeaveAt > 0 {
				o.LeaveAt = time.UnixMilli(e.LeaveAt)
			}
		}
		out = append(out, o)
	}
	return out
}

// demand is what bought engines must carry: the templates' replicas and the
// measured load, less what engines that others provide carry.
func (b *buyer) demand(list []fleet.Endpoint, instances []cloudapi.Instance) capacity.Demand {
	rate := b.config.Classes[0].Rate
	wanted, measured := 0.0, 0.0
	for _, m := range b.daemon.configuration.snapshot.Load().Models {
		wanted += float64(m.MinReplicas) * rate
	}
	bought := make(map[fleet.InstanceID]bool)
	for _, i := range instances {
		bought[i.ID] = i.ClientToken != ""
	}
	given := 0.0
	for _, e := range list {
		if e.Kind != fleet.EngineEndpoint || e.State != fleet.Live {
			continue
		}
		if load, ok := b.daemon.observing.load(e.ID); ok && load.TokenMillis > 0 {
			measured += float64(load.Running) * 1000 / load.TokenMillis
		}
		if !bought[e.Instance] {
			given += rate
		}
	}
	return capacity.Demand{Base: max(0, wanted-given), Measured: max(0, measured-given)}
}
