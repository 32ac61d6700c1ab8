package node

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/duty"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/lease"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ring"
	"github.com/cyclamenbeam/cyclamenbeam/internal/usage"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const (
	// dutyTick is how often the duties check what is due.
	dutyTick = 100 * time.Millisecond
	// gatherTimeout is how long a new holder waits for the reports of all daemons: they
	// receive the new holder from the hubs within two rounds, and report in the next.
	gatherTimeout = 1500 * time.Millisecond
	// dutyDelay is how long after its start a daemon doesn't compete for the duties: it
	// has found few others yet, and would take itself for a candidate. A longer delay
	// would leave a fleet that was killed at once without orders for endpoints.
	dutyDelay = 700 * time.Millisecond
	// resultRing bounds the results that wait for the duties' goroutine: at most a
	// lease, a report and an order for each place are in flight.
	resultRing = 64
)

// duties runs the control duties, usage reports, scaling and roll-outs, while this
// daemon holds their lease. One goroutine owns it; calls run on goroutines of their
// own and return through results.
type duties struct {
	node         *Node
	lease        *lease.Set
	usage        *usage.Reporter
	scaling      *scalingDuty
	checkpointer *checkpointer
	limits       *limitsWriter
	retries      *retrySweeper
	results      *ring.Ring[func(now time.Time)]
	token        uint64 // of the acquisition by which this daemon holds the duties
	acquiredAt   time.Time
	// complete means that all daemons have reported since acquiredAt.
	complete bool
	log      *logrus.Entry
}

// leaseConfig returns a lease as long as the platform's bound for a change of
// holders, so that two holders can't alternate within it.
func leaseConfig(length time.Duration) lease.Config {
	return lease.Config{
		Duration:        length,
		Margin:          length / 10,
		RenewInterval:   length / 3,
		RetryDelay:      150 * time.Millisecond,
		CallTimeout:     length / 3,
		OrderTimeout:    time.Second,
		Candidates:      3,
		ObserveInterval: length / 4,
		SweepInterval:   3 * length,
		RankDelay:       length * 3 / 10,
		HandoverDelay:   20 * time.Second,
		StartSpread:     100 * time.Millisecond,
		ListThreshold:   4,
	}
}

func newDuties(n *Node) *duties {
	length := millis(n.settings.Bounds.LeaseMillis)
	return &duties{
		node:    n,
		lease:   lease.NewSet(leaseConfig(length), n.id, lease.Shards("duties", 1), random(), time.Now()),
		results: ring.New[func(time.Time)]("duties", resultRing),
		log:     n.logFor("duties"),
	}
}

func (d *duties) run(ctx context.Context) {
	tick := time.NewTimer(pause.ToNext(dutyTick))
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-d.results.C():
			f(time.Now())
		case <-tick.C:
			tick.Reset(pause.ToNext(dutyTick))
			d.tick(ctx, time.Now())
		}
	}
}

func (d *duties) tick(ctx context.Context, now time.Time) {
	if !d.node.Ready() && !d.node.Stopping() {
		return
	}
	if time.Since(d.node.started) < dutyDelay {
		return
	}
	if d.node.Stopping() {
		d.lease.Leave()
	}
	candidates := d.node.members.candidates()
	if !slices.Contains(candidates, d.node.id) && !d.node.Stopping() {
		return
	}
	d.lease.Alive(candidates)
	for _, a := range d.lease.Tick(now) {
		d.callLease(ctx, a)
	}
	l := d.lease.Lease(0)
	l.Superseded(d.node.peers.otherHolderToken(d.node.id))
	if !l.Held(now) { // not MayOrderUnfenced, which would delay the lease's release
		d.node.rollouts.end()
		return
	}
	d.acquire(now, l.Fencing())
	if !d.gathered(now) {
		return
	}
	if d.checkpointer.step(ctx, now) {
		d.stepUsage(ctx, now)
	}
	d.limits.step(ctx, now)
	d.retries.step(ctx, now)
	d.node.rollouts.step(ctx, d, now)
	d.scaling.step(ctx, now)
}

// gathered reports whether all daemons have reported to the new holder, without which
// windows would be frozen with a part of their counts. A daemon that can't report is
// waited for no longer than gatherTimeout.
func (d *duties) gathered(now time.Time) bool {
	if !d.complete {
		d.node.peers.withHub(func(h *exchange.Hub) { d.complete = h.ReceivedFromAll(d.acquiredAt, d.node.members.ids()) })
	}
	return d.complete || now.Sub(d.acquiredAt) >= gatherTimeout
}

// acquire resets the duties' state with each acquisition of the lease: another holder
// may have changed what was kept before.
func (d *duties) acquire(now time.Time, token uint64) {
	if token == d.token && d.usage != nil {
		return
	}
	d.token, d.acquiredAt, d.complete = token, now, false
	d.node.peers.setHolder(token)
	d.usage = usage.NewReporter(seconds(d.node.settings.Bounds.UsageWindowSeconds))
	d.scaling = newScalingDuty(d)
	d.checkpointer = &checkpointer{duties: d}
	d.limits = &limitsWriter{duties: d}
	d.retries = &retrySweeper{duties: d, last: time.Now()}
	d.log.WithField("token", token).Info("holds the duties")
}

// fence returns the fence of a call that is sent now, and whether it may be sent.
func (d *duties) fence() (duty.Fence, bool) {
	l := d.lease.Lease(0)
	return duty.Fence{Holder: d.node.settings.Daemon.Instance, Token: l.Fencing()}, l.MayOrderUnfenced(time.Now())
}

// call runs f on a goroutine of its own, and the function that it returns on the
// duties' goroutine.
func (d *duties) call(ctx context.Context, f func() func(now time.Time)) {
	d.node.wg.Add(1)
	go func() {
		defer d.node.wg.Done()
		result := f()
		d.results.Send(ctx.Done(), result)
	}()
}

// callLease makes a call that the lease requests.
func (d *duties) callLease(ctx context.Context, a lease.Action) {
	name := d.lease.Shards()[0].Object()
	d.call(ctx, func() func(time.Time) {
		if a.Kind != lease.Write {
			o, err := d.node.platform.Store.Get(ctx, lease.Kind, name)
			return func(now time.Time) { d.leaseRead(now, o, err) }
		}
		o, err := d.writeLease(ctx, name, a)
		return func(now time.Time) { d.leaseWritten(now, a, o, err) }
	})
}

func (d *duties) writeLease(ctx context.Context, name string, a lease.Action) (objects.Object, error) {
	value, err := a.State.Value()
	if err != nil {
		return objects.Object{}, verdict.Wrap(verdict.NotRun, err)
	}
	if a.IfVersion == 0 {
		return d.node.platform.Store.Create(ctx, lease.Kind, name, value)
	}
	return d.node.platform.Store.Replace(ctx, lease.Kind, name, a.IfVersion, value)
}

func (d *duties) leaseRead(now time.Time, o objects.Object, err error) {
	switch {
	case errors.Is(err, objects.ErrNotFound):
		d.lease.Observed(now, 0, lease.Observation{})
	case err != nil:
		d.lease.ReadFailed(now, 0)
	default:
		d.lease.Observed(now, 0, observation(o))
	}
}

func (d *duties) leaseWritten(now time.Time, a lease.Action, o objects.Object, err error) {
	switch {
	case err == nil:
		d.lease.Wrote(now, a, o.Revision)
	case errors.Is(err, objects.ErrConflict) && o.Revision != 0:
		d.lease.WriteConflict(now, a, observation(o))
	case errors.Is(err, objects.ErrNotFound):
		d.lease.WriteConflict(now, a, lease.Observation{})
	default:
		d.lease.WriteAmbiguous(now, a)
	}
}

func observation(o objects.Object) lease.Observation {
	return lease.ObservationOf(objectapi.Object{Version: o.Revision, Value: json.RawMessage(o.Spec)})
}
