package daemon

import (
	"context"
	"maps"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/capacity"
	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
)

// drainGrace is how long daemons may need to learn that an engine drains: a
// leaving endpoint gets no new work after a few seconds.
const drainGrace = 5 * time.Second

// giveBack drains an instance before it ends it. An instance that is not given
// back yet is an orphan in the next plan, and comes here again.
func (b *buyer) giveBack(ctx context.Context, permit permit, g capacity.GiveBack) {
	if !b.drained(ctx, g) {
		return
	}
	_, deadline, ok := permit.order()
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := b.cloud.End(ctx, g.Instance); err != nil {
		b.log.WithField("instance", g.Instance).WithError(err).Warn("instance not given back")
		return
	}
	b.log.WithField("instance", g.Instance).Infof("instance given back: %s", g.Reason)
}

// drained reports whether nothing runs on an instance's engine any more, and
// has it drained otherwise.
func (b *buyer) drained(ctx context.Context, g capacity.GiveBack) bool {
	for _, e := range b.daemon.routing.current.Load().list {
		if e.Instance != g.Instance {
			continue
		}
		if !b.daemon.drains.draining(e.ID) {
			b.operators.Drain(ctx, string(e.ID), "capacity", operator.Drain{
				Drain: true, Why: "given back: " + string(g.Reason), Operation: uuid.Must(uuid.NewV7()).String(),
			})
			return false
		}
		return b.idle(ctx, e)
	}
	return true // no engine serves there
}

// idle reports whether a draining engine can be ended without cutting off a
// request.
//
// Draining engines are not polled, so the newest load report may be older than the order to
// drain. By that report, an engine that was busy would be kept and paid for ever, and one that
// was idle would be ended under a request that came later. So daemons get time to learn of the
// drain, and the engine is asked afterwards. One that doesn't answer is ended when no request can still run.
func (b *buyer) idle(ctx context.Context, e fleet.Endpoint) bool {
	now := time.Now()
	since, ok := b.draining[e.Instance]
	if !ok {
		b.draining[e.Instance] = now
		return false
	}
	if now.Sub(since) < drainGrace {
		return false
	}
	load, err := b.daemon.observing.client.Load(ctx, e.Address)
	if err != nil {
		return now.Sub(since) > b.daemon.settings.Limits.RequestTimeout
	}
	return load.Running == 0 && load.Queued == 0
}

// forgetDrained drops what was noted of instances that the cloud lists no more.
func (b *buyer) forgetDrained(instances []cloudapi.Instance) {
	listed := make(map[fleet.InstanceID]bool, len(instances))
	for _, i := range instances {
		listed[i.ID] = true
	}
	maps.DeleteFunc(b.draining, func(id fleet.InstanceID, _ time.Time) bool { return !listed[id] })
}
