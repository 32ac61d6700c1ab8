package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/duty"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/usage"
)

// The object that holds the last frozen window.
const (
	usageKind = "usage-windows"
	usageName = "frozen"
)

// stepUsage makes the call that the usage reporter requests.
func (d *duties) stepUsage(ctx context.Context, now time.Time) {
	r := d.usage
	switch a := r.Next(now, d.node.clock.Now(), d.begun); a.Kind {
	case usage.Read:
		d.call(ctx, func() func(time.Time) {
			o, err := d.node.platform.Store.Get(ctx, usageKind, usageName)
			return func(now time.Time) { d.usageFound(now, r, o, err) }
		})
	case usage.Freeze:
		d.call(ctx, func() func(time.Time) {
			o, err := d.freeze(ctx, a)
			return func(now time.Time) { d.usageFrozen(now, r, a, o, err) }
		})
	case usage.Send:
		f, ok := d.fence()
		if !ok {
			r.SendFailed(now)
			return
		}
		d.call(ctx, func() func(time.Time) {
			err := d.node.platform.Cloud.Report(ctx, f, duty.Usage{Window: a.Record.Window, Begun: a.Record.Begun})
			return func(now time.Time) { d.usageSent(now, r, a, err) }
		})
	}
}

// begun returns a window's counts from all daemons, by workspace.
func (d *duties) begun(window uint64) map[fleet.WorkspaceID]uint64 {
	var out exchange.RequestCounts
	d.node.peers.withHub(func(h *exchange.Hub) { out = h.RequestCounts(window) })
	return out
}

// stored decodes the value of an object that was read, or returns the read's error.
func stored[T any](o objects.Object, err error) (value T, _ error) {
	if err == nil {
		err = json.Unmarshal(o.Spec, &value)
	}
	return value, err
}

func (d *duties) freeze(ctx context.Context, a usage.Action) (objects.Object, error) {
	a.Record.Daemons = len(d.node.members.serving())
	a.Record.Era = d.node.endpoints.Era()
	text, err := json.Marshal(a.Record)
	if err != nil {
		return objects.Object{}, Error.Wrap(err)
	}
	if a.Revision == 0 {
		return d.node.platform.Store.Create(ctx, usageKind, usageName, text)
	}
	return d.node.platform.Store.Replace(ctx, usageKind, usageName, a.Revision, text)
}

func (d *duties) usageFound(now time.Time, r *usage.Reporter, o objects.Object, err error) {
	if errors.Is(err, objects.ErrNotFound) {
		r.Found(0, usage.Record{})
		return
	}
	record, err := stored[usage.Record](o, err)
	if err != nil {
		d.log.WithError(err).Warn("frozen usage not read")
		r.Unsure(now)
		return
	}
	r.Found(o.Revision, record)
}

func (d *duties) usageFrozen(now time.Time, r *usage.Reporter, a usage.Action, o objects.Object, err error) {
	if err != nil {
		d.log.WithError(err).WithField("window", a.Record.Window).Warn("usage not frozen")
		r.Unsure(now)
		return
	}
	r.Frozen(o.Revision, a.Record)
}

func (d *duties) usageSent(now time.Time, r *usage.Reporter, a usage.Action, err error) {
	if err != nil {
		d.log.WithError(err).WithField("window", a.Record.Window).Warn("usage not sent")
		r.SendFailed(now)
		return
	}
	r.Sent()
	d.log.WithField("window", a.Record.Window).Info("usage sent")
}
