package node

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/follow"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

// RolloutRecordKind is the kind of the objects that hold the decider's record of each
// roll-out, by service.
const RolloutRecordKind = "rollout-records"

// rolloutDuty decides the roll-outs while this daemon holds the duties. Only the duties'
// goroutine uses it.
type rolloutDuty struct {
	node     *Node
	log      *logrus.Entry
	orders   *rolloutOrders
	store    *follow.Follower
	followed chan struct{} // closed when the follower of the previous acquisition has ended

	holding  bool
	stop     context.CancelFunc // of the follower
	token    uint64
	seq      uint64 // of the last update; it only increases, also where the same lease is acquired again
	restored bool
	reading  bool
	records  map[string]rollout.Record // as read from the store
	running  map[string]*runningRollout
	refused  map[string]uint64 // by service, the revision of an order that can't be decoded
}

func newRolloutDuty(n *Node) *rolloutDuty {
	d := &rolloutDuty{node: n, log: n.logFor("roll-out"), orders: newRolloutOrders(n)}
	d.store = follow.New(n.platform.Store, n.platform.RolloutKind, d.orders, orderTiming{n.watch})
	return d
}

// enabled reports whether roll-outs are in use.
func (d *rolloutDuty) enabled() bool {
	return d.node.settings.Bounds.rollouts().On() && d.node.platform.RolloutKind != ""
}

// begin resets the state at an acquisition of the duties.
func (d *rolloutDuty) begin(ctx context.Context, token uint64) {
	d.end()
	d.token, d.restored, d.reading = token, false, false
	d.records, d.running, d.refused = map[string]rollout.Record{}, map[string]*runningRollout{}, map[string]uint64{}
	d.orders.forget()
	var following context.Context
	following, d.stop = context.WithCancel(ctx)
	d.holding = true
	previous, done := d.followed, make(chan struct{})
	d.followed = done
	d.node.wg.Go(func() {
		defer close(done)
		if previous != nil {
			<-previous
		}
		d.store.Run(following, 0, func() bool { return following.Err() == nil })
	})
}

// end stops deciding.
func (d *rolloutDuty) end() {
	if d.holding {
		d.stop()
		d.holding = false
	}
}

// step advances all roll-outs.
func (d *rolloutDuty) step(ctx context.Context, duties *duties, now time.Time) {
	if !d.enabled() {
		return
	}
	if !d.holding || d.token != duties.token {
		d.begin(ctx, duties.token)
	}
	orders, listed := d.orders.current()
	if !d.restored {
		d.restore(ctx, duties)
	}
	if !d.restored || !listed {
		return
	}
	fleetNow := d.node.clock.Now()
	d.takeOrders(fleetNow, orders)
	reported := d.orders.takeReports()
	for _, service := range slices.Sorted(maps.Keys(d.running)) {
		r := d.running[service]
		for daemon, reports := range reported {
			for i := range reports {
				if reports[i].Service == service {
					r.decider.AddReport(fleetNow, string(daemon), &reports[i])
				}
			}
		}
		d.decide(ctx, duties, now, fleetNow, r)
	}
	d.publish(now, fleetNow)
}

// runs reports whether a service's roll-out is running, as far as this decider has read.
func (d *rolloutDuty) runs(service string) bool {
	r := d.running[service]
	return r != nil && !r.final
}

// restore reads the records of the roll-outs.
func (d *rolloutDuty) restore(ctx context.Context, duties *duties) {
	if d.reading {
		return
	}
	d.reading = true
	duties.call(ctx, func() func(time.Time) {
		all, _, err := d.node.platform.Store.List(ctx, RolloutRecordKind)
		return func(time.Time) {
			d.reading = false
			if err != nil {
				d.log.WithError(err).Warn("records not read")
				return
			}
			d.restored = true
			for _, o := range all {
				var r rollout.Record
				if err := json.Unmarshal(o.Spec, &r); err != nil {
					d.log.WithError(err).WithField("service", o.Name).Error("record not decoded")
					continue
				}
				d.records[o.Name] = r
			}
		}
	})
}

// takeOrders begins the roll-outs that were ordered, and drops those whose orders are gone.
func (d *rolloutDuty) takeOrders(fleetNow time.Time, orders map[string]storedOrder) {
	for service := range d.running {
		if _, ok := orders[service]; !ok {
			delete(d.running, service)
			d.log.WithField("service", service).Warn("order is gone")
		}
	}
	for service, o := range orders {
		order, err := d.node.platform.DecodeOrder(o.object)
		if err != nil && d.refused[service] != o.object.Revision {
			d.refused[service] = o.object.Revision
			d.log.WithError(err).WithField("service", service).Error("order refused")
		}
		if err != nil && (order.Service == "" || order.Target == "") {
			continue
		}
		if r := d.running[service]; r != nil && r.order.Target == order.Target {
			r.reorder(order)
			r.take(d.node, o.object)
			continue
		}
		d.running[service] = d.start(order, o)
	}
}

// start begins a roll-out, or resumes one from its record.
func (d *rolloutDuty) start(order rollout.Order, o storedOrder) *runningRollout {
	record := d.records[order.Service]
	known := record.Order.Target == order.Target
	if !known {
		record = rollout.Record{Started: o.seen}
	}
	record.Order = order
	r := &runningRollout{order: order, revision: o.object.Revision, decider: rollout.NewDecider(d.node.settings.Bounds.rollouts(), record)}
	r.take(d.node, o.object)
	d.log.WithFields(logrus.Fields{
		"service": order.Service, "target": order.Target, "duration_ms": order.Duration.Milliseconds(),
		"started": record.Started, "phase": r.decider.Record().Phase.String(), "resumed": known, "token": d.token,
	}).Info("order taken")
	return r
}

// decide advances one roll-out.
func (d *rolloutDuty) decide(ctx context.Context, duties *duties, now, fleetNow time.Time, r *runningRollout) {
	if r.final {
		return
	}
	if r.decider.Step(fleetNow, d.view(r.order.Service)) {
		d.logState(r, "phase changed")
		r.recordedAt = time.Time{}
	}
	record := r.decider.Record()
	if !r.writingRecord && now.Sub(r.recordedAt) >= recordInterval {
		d.writeRecord(ctx, duties, now, r, record)
	}
	if wanted := !r.hasStatus || record.Phase.Final(); wanted && !r.writingStatus && !now.Before(r.retry) {
		d.writeStatus(ctx, duties, r, record.Phase)
	}
}

// view returns the fleet's state as the decider needs it for a service.
func (d *rolloutDuty) view(service string) rollout.View {
	n := d.node
	v := rollout.View{Routes: map[string]bool{}, ReportInterval: n.movingInterval()}
	v.Old, v.New = n.state.VersionCounts(service)
	for _, id := range n.members.ids() {
		v.Daemons = append(v.Daemons, string(id))
	}
	table := n.Table()
	if table == nil {
		return v
	}
	for i := range table.Routes {
		r := &table.Routes[i]
		for _, b := range r.Backends {
			if b.Service == service {
				v.Routes[r.Name] = r.Repeatable()
			}
		}
	}
	return v
}

// publish passes the splits on: the other daemons receive them in the answers to their
// reports.
func (d *rolloutDuty) publish(now, fleetNow time.Time) {
	d.seq++
	update := rollout.Update{Rank: rollout.Rank{Token: d.token, Seq: d.seq}, OrdersAge: d.store.Age()}
	for _, service := range slices.Sorted(maps.Keys(d.running)) {
		update.Splits = append(update.Splits, d.running[service].decider.Split(fleetNow))
	}
	d.node.state.ApplyRollouts(now, update)
}

// movingInterval is the time between two reports while a service moves to another version:
// the counts of requests at its versions must be recent.
func (n *Node) movingInterval() time.Duration {
	return min(n.interval(), max(minMovingInterval, time.Duration(n.members.reporters())*perDaemonMovingInterval))
}

const (
	minMovingInterval = 100 * time.Millisecond
	// perDaemonMovingInterval bounds the reports to the decider at 670 a second.
	perDaemonMovingInterval = 1500 * time.Microsecond
)
