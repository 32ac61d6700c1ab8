package node

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/follow"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

const (
	// RolloutRecordKind is the kind of what is kept of each roll-out, by service.
	RolloutRecordKind = "rollout-records"
	// recordInterval is how often a running one is written.
	recordInterval = time.Second
	// statusRetry is the pause after a status that could not be written.
	statusRetry = 200 * time.Millisecond
)

// rolloutDuty decides the roll-outs while this daemon holds the duties. Orders come
// from the follower's goroutine and reports from the peers'; the rest belongs to the
// duties' goroutine.
type rolloutDuty struct {
	node     *Node
	store    *follow.Follower
	log      *logrus.Entry
	followed chan struct{} // closed when the follower of an earlier holding has ended

	mu      sync.Mutex
	orders  map[string]ordered
	listed  bool
	reports map[fleet.DaemonID][]rollout.Report

	holding  bool
	stop     context.CancelFunc // of the follower
	token    uint64
	seq      uint64
	restored bool
	reading  bool
	records  map[string]rollout.Record // as they were found in the store
	running  map[string]*runningRollout
	refused  map[string]uint64 // by service, the revision of an order that is none
}

// ordered is an order as the store has it.
type ordered struct {
	object objects.Object
	seen   time.Time // the fleet's time
}

// runningRollout is a roll-out of which this daemon is the decider.
type runningRollout struct {
	decider  *rollout.Decider
	order    rollout.Order
	revision uint64 // of the order's object
	kept     time.Time
	keeping  bool
	writing  bool
	stated   bool // the status names this target and isn't final
	final    bool // the status is final
	retry    time.Time
}

func newRolloutDuty(n *Node) *rolloutDuty {
	d := &rolloutDuty{node: n, log: n.say("roll-out"), orders: map[string]ordered{}, reports: map[fleet.DaemonID][]rollout.Report{}}
	d.store = follow.New(n.platform.Store, n.platform.RolloutKind, d, n.watching)
	return d
}

// on reports whether roll-outs are in use.
func (d *rolloutDuty) on() bool {
	return d.node.settings.Bounds.rollouts().On() && d.node.platform.RolloutKind != ""
}

// Listed implements follow.Handler. An order that was there before this daemon
// looked is taken to be as old as a change of holders takes.
func (d *rolloutDuty) Listed(all []objects.Object, _ uint64) {
	seen := d.node.clock.Now().Add(-millis(d.node.settings.Bounds.LeaseMillis))
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.orders
	d.orders, d.listed = map[string]ordered{}, true
	for _, o := range all {
		at := seen
		if old, ok := before[o.Name]; ok {
			at = old.seen
		}
		d.orders[o.Name] = ordered{o, at}
	}
}

// Changed implements follow.Handler.
func (d *rolloutDuty) Changed(changes []objects.Change, _ uint64) {
	now := d.node.clock.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, c := range changes {
		name := c.Object.Name
		if c.Deleted {
			delete(d.orders, name)
			continue
		}
		seen := now
		if old, ok := d.orders[name]; ok && string(old.object.Spec) == string(c.Object.Spec) {
			seen = old.seen
		}
		d.orders[name] = ordered{c.Object, seen}
	}
}

// Lost implements follow.Handler.
func (d *rolloutDuty) Lost(err error) { d.log.WithError(err).Warn("store lost") }

// Returned implements follow.Handler.
func (d *rolloutDuty) Returned(time.Time) { d.log.Info("store is back") }

// hear takes a daemon's reports.
func (d *rolloutDuty) hear(daemon fleet.DaemonID, all []rollout.Report) {
	if len(all) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.reports[daemon] = all
}

// heard returns the reports since the last call.
func (d *rolloutDuty) heard() map[fleet.DaemonID][]rollout.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := d.reports
	d.reports = map[fleet.DaemonID][]rollout.Report{}
	return out
}

func (d *rolloutDuty) known() (map[string]ordered, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.orders), d.listed
}

// begin starts afresh with an acquisition of the duties.
func (d *rolloutDuty) begin(ctx context.Context, token uint64) {
	d.end()
	d.token, d.seq, d.restored, d.reading = token, 0, false, false
	d.records, d.running, d.refused = map[string]rollout.Record{}, map[string]*runningRollout{}, map[string]uint64{}
	d.mu.Lock()
	d.orders, d.listed = map[string]ordered{}, false
	d.mu.Unlock()
	var following context.Context
	following, d.stop = context.WithCancel(ctx)
	d.holding = true
	before, done := d.followed, make(chan struct{})
	d.followed = done
	d.node.wg.Go(func() {
		defer close(done)
		if before != nil {
			<-before
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

// step decides all roll-outs.
func (d *rolloutDuty) step(ctx context.Context, duties *duties, now time.Time) {
	if !d.on() {
		return
	}
	if !d.holding || d.token != duties.token {
		d.begin(ctx, duties.token)
	}
	orders, listed := d.known()
	if !d.restored {
		d.restore(ctx, duties)
	}
	if !d.restored || !listed {
		return
	}
	fleetNow := d.node.clock.Now()
	d.take(fleetNow, orders)
	heard := d.heard()
	for _, service := range slices.Sorted(maps.Keys(d.running)) {
		r := d.running[service]
		for daemon, reports := range heard {
			for i := range reports {
				if reports[i].Service == service {
					r.decider.Hear(fleetNow, string(daemon), &reports[i])
				}
			}
		}
		d.decide(ctx, duties, now, fleetNow, r)
	}
	d.tell(now, fleetNow)
}

// runs reports whether a service's roll-out is under way, as far as its decider knows.
func (d *rolloutDuty) runs(service string) bool {
	r := d.running[service]
	return r != nil && !r.final
}

// restore reads what is kept of the roll-outs.
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
					d.log.WithError(err).WithField("service", o.Name).Error("record not understood")
					continue
				}
				d.records[o.Name] = r
			}
		}
	})
}

// take begins the roll-outs that were ordered, and drops those whose orders are gone.
func (d *rolloutDuty) take(fleetNow time.Time, orders map[string]ordered) {
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
		if r := d.running[service]; r != nil && r.order == order {
			r.take(d.node, o.object)
			continue
		}
		d.running[service] = d.start(order, o)
	}
}

// start begins a roll-out, or goes on with one.
func (d *rolloutDuty) start(order rollout.Order, o ordered) *runningRollout {
	record, known := d.records[order.Service]
	if !known || record.Order.Target != order.Target || record.Order.Duration != order.Duration {
		record = rollout.Record{Order: order, Started: o.seen}
	}
	r := &runningRollout{order: order, revision: o.object.Revision, decider: rollout.NewDecider(d.node.settings.Bounds.rollouts(), record)}
	r.take(d.node, o.object)
	d.log.WithFields(logrus.Fields{
		"service": order.Service, "target": order.Target, "duration_ms": order.Duration.Milliseconds(),
		"started": record.Started, "phase": r.decider.Record().Phase.String(), "resumed": known, "token": d.token,
	}).Info("order taken")
	return r
}

// take takes what the store says of a roll-out. A final status is never left.
func (r *runningRollout) take(n *Node, o objects.Object) {
	r.revision = max(r.revision, o.Revision)
	target, phase, final := n.platform.DecodeRollout(o)
	if target != r.order.Target {
		return
	}
	r.stated = true
	if final && !r.final {
		r.final = true
		r.decider.Settle(phase)
	}
}

// decide takes one roll-out a step further.
func (d *rolloutDuty) decide(ctx context.Context, duties *duties, now, fleetNow time.Time, r *runningRollout) {
	if r.final {
		return
	}
	if r.decider.Step(fleetNow, d.view(r.order.Service)) {
		d.say(r, "phase changed")
		r.kept = time.Time{}
	}
	record := r.decider.Record()
	if !r.keeping && now.Sub(r.kept) >= recordInterval {
		d.keep(ctx, duties, now, r, record)
	}
	if wanted := !r.stated || record.Phase.Final(); wanted && !r.writing && !now.Before(r.retry) {
		d.state(ctx, duties, r, record.Phase)
	}
}

// say logs where a roll-out stands.
func (d *rolloutDuty) say(r *runningRollout, what string) {
	record := r.decider.Record()
	d.log.WithFields(logrus.Fields{
		"service": r.order.Service, "target": r.order.Target, "phase": record.Phase.String(), "reason": record.Reason,
		"asked": record.Asked, "exposed": record.Exposed, "answers": record.Answers, "bad": record.Bad,
		"chance": record.Chance, "route": record.Route, "share": record.Share,
	}).Info(what)
}

// keep writes the record for a successor.
func (d *rolloutDuty) keep(ctx context.Context, duties *duties, now time.Time, r *runningRollout, record rollout.Record) {
	text, err := json.Marshal(record)
	if err != nil {
		d.log.WithError(err).Error("record not encoded")
		return
	}
	r.keeping, r.kept = true, now
	duties.call(ctx, func() func(time.Time) {
		err := d.node.put(ctx, RolloutRecordKind, r.order.Service, text)
		return func(time.Time) {
			r.keeping = false
			if err != nil {
				d.log.WithError(err).WithField("service", r.order.Service).Info("record not kept")
			}
		}
	})
}

// state writes the status. Two deciders may try: the store takes one of them.
func (d *rolloutDuty) state(ctx context.Context, duties *duties, r *runningRollout, phase rollout.Phase) {
	if _, ok := duties.fence(); !ok {
		return
	}
	status, err := d.node.platform.EncodeRollout(r.order.Target, phase)
	if err != nil {
		d.log.WithError(err).Error("status not encoded")
		return
	}
	r.writing = true
	revision := r.revision
	duties.call(ctx, func() func(time.Time) {
		o, err := d.node.platform.Store.SetStatus(ctx, d.node.platform.RolloutKind, r.order.Service, revision, status)
		return func(now time.Time) { d.stated(now, r, phase, o, err) }
	})
}

// stated takes the answer to a status.
func (d *rolloutDuty) stated(now time.Time, r *runningRollout, phase rollout.Phase, o objects.Object, err error) {
	r.writing = false
	log := d.log.WithFields(logrus.Fields{"service": r.order.Service, "target": r.order.Target, "phase": phase.String()})
	switch {
	case err == nil:
		r.revision, r.stated = max(r.revision, o.Revision), true
		if phase.Final() {
			r.final = true
			r.decider.Settle(phase)
		}
		log.Info("status written")
	case errors.Is(err, objects.ErrConflict) && o.Revision != 0:
		r.retry = now.Add(statusRetry)
		r.take(d.node, o)
		log.Info("another revision of the order stands")
	default:
		r.retry = now.Add(statusRetry)
		log.WithError(err).Warn("status not written")
	}
}

// view returns what the decider must know of a service.
func (d *rolloutDuty) view(service string) rollout.View {
	n := d.node
	v := rollout.View{Routes: map[string]bool{}, Interval: n.movingInterval()}
	v.Old, v.New = n.state.Versions(service)
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

// tell passes the words on: the other daemons hear them in the answers to their
// reports.
func (d *rolloutDuty) tell(now, fleetNow time.Time) {
	d.seq++
	news := rollout.News{Rank: rollout.Rank{Token: d.token, Seq: d.seq}}
	for _, service := range slices.Sorted(maps.Keys(d.running)) {
		news.Words = append(news.Words, d.running[service].decider.Word(fleetNow))
	}
	d.node.state.HearRollouts(now, news)
}

// movingInterval is the time between two reports while a service moves: what is
// known of the requests at its old version must be fresh.
func (n *Node) movingInterval() time.Duration {
	return min(n.interval(), max(leastMovingInterval, time.Duration(n.members.number())*perDaemonMoving))
}

const (
	leastMovingInterval = 100 * time.Millisecond
	// perDaemonMoving bounds the reports that come to the decider at 670 a second.
	perDaemonMoving = 1500 * time.Microsecond
)
