package daemon

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/lease"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
)

const (
	leasingRing = 256
	leasingTick = 250 * time.Millisecond
)

// leasingDuty holds leases on shards of the control duties.
type leasingDuty struct {
	*owner[*lease.Set]
	ctx     context.Context
	objects outside.Objects
	self    fleet.DaemonID
	ready   func() bool // the fleet is known: alone, a daemon prefers all shards
	alive   func() []fleet.DaemonID
	onHeld  func(shards int) // called each tick with how many are held; nil for none
	log     *logrus.Entry
}

func newLeasingDuty(self fleet.DaemonID, shards []lease.Shard, objects outside.Objects, startSpread time.Duration, log *logrus.Entry) *leasingDuty {
	config := lease.DefaultConfig
	config.StartSpread = startSpread
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &leasingDuty{
		owner:   newOwner("leasing", leasingRing, lease.NewSet(config, self, shards, rng, time.Now())),
		objects: objects.As(budget.Lease),
		self:    self,
		log:     log,
	}
}

func (d *leasingDuty) start(ctx context.Context) {
	d.ctx = ctx
	go d.run(ctx, leasingTick, func(now time.Time, s *lease.Set) {
		if !d.ready() {
			return
		}
		s.Alive(d.alive())
		for _, a := range s.Tick(now) {
			go d.perform(s.Shards(), a)
		}
		if d.onHeld != nil {
			d.onHeld(countHeld(now, s))
		}
	})
}

func countHeld(now time.Time, s *lease.Set) int {
	n := 0
	for i := range s.Shards() {
		if s.Lease(i).Held(now) {
			n++
		}
	}
	return n
}

// perform makes one call of the object API.
func (d *leasingDuty) perform(shards []lease.Shard, a lease.Action) {
	ctx, cancel := context.WithTimeout(d.ctx, lease.DefaultConfig.CallTimeout)
	defer cancel()
	switch a.Kind {
	case lease.Read:
		d.read(ctx, shards[a.Shard], a)
	case lease.List:
		d.list(ctx, shards)
	case lease.Write:
		d.write(ctx, shards[a.Shard], a)
	}
}

func (d *leasingDuty) read(ctx context.Context, shard lease.Shard, a lease.Action) {
	object, err := d.objects.Get(ctx, lease.Kind, shard.Object())
	var missing *outside.NotFound
	if errors.As(err, &missing) {
		err = nil
	}
	d.tell(func(now time.Time, s *lease.Set) {
		if err != nil {
			s.ReadFailed(now, a.Shard)
			return
		}
		s.Observed(now, a.Shard, lease.ObservationOf(object))
	})
}

func (d *leasingDuty) list(ctx context.Context, shards []lease.Shard) {
	list, err := d.objects.List(ctx, lease.Kind, "")
	byName := make(map[string]objectapi.Object, len(list.Objects))
	for _, o := range list.Objects {
		byName[o.Name] = o
	}
	all := make([]lease.Observation, len(shards))
	for i, shard := range shards {
		if o, ok := byName[shard.Object()]; ok {
			all[i] = lease.ObservationOf(o)
		}
	}
	d.tell(func(now time.Time, s *lease.Set) {
		if err != nil {
			s.ListFailed()
			return
		}
		s.Listed(now, all)
	})
}

func (d *leasingDuty) write(ctx context.Context, shard lease.Shard, a lease.Action) {
	value, err := a.State.Value()
	if err != nil {
		d.log.WithError(err).Error("lease not encoded")
		return
	}
	var object objectapi.Object
	if a.IfVersion == 0 {
		object, err = d.objects.Create(ctx, lease.Kind, shard.Object(), value)
	} else {
		object, err = d.objects.Update(ctx, lease.Kind, shard.Object(), value, a.IfVersion)
	}
	var conflict *outside.Conflict
	d.tell(func(now time.Time, s *lease.Set) {
		switch {
		case err == nil:
			s.Wrote(now, a, object.Version)
		case errors.As(err, &conflict):
			s.WriteConflict(now, a, lease.ObservationOf(conflict.Current))
		default:
			s.WriteAmbiguous(now, a)
		}
	})
}

// permit is the right to give orders for one shard.
type permit struct {
	duty  *leasingDuty
	shard int
}

// held returns the indexes, within the duty, of the shards held now.
func (d *leasingDuty) held(duty string) []int {
	var out []int
	d.ask(func(now time.Time, s *lease.Set) {
		for i, shard := range s.Shards() {
			if shard.Duty == duty && s.Lease(i).Held(now) {
				out = append(out, shard.Index)
			}
		}
	})
	return out
}

// permit returns the right to ask for orders of a duty's shard.
func (d *leasingDuty) permit(duty string, index int) permit {
	p := permit{duty: d, shard: -1}
	d.ask(func(_ time.Time, s *lease.Set) {
		for i, shard := range s.Shards() {
			if shard.Duty == duty && shard.Index == index {
				p.shard = i
			}
		}
	})
	return p
}

// order returns the fencing number for an order that leaves now, and when it
// must have ended; false when the lease is not held.
func (p permit) order() (fencing uint64, deadline time.Time, ok bool) {
	if p.shard < 0 {
		return 0, time.Time{}, false
	}
	p.duty.ask(func(now time.Time, s *lease.Set) {
		fencing, ok = s.Lease(p.shard).MayOrder(now)
		deadline = s.Lease(p.shard).Deadline(now)
	})
	return fencing, deadline, ok
}

// orderUnfenced is order for an endpoint that ignores fencing numbers.
func (p permit) orderUnfenced() (fencing uint64, deadline time.Time, ok bool) {
	if p.shard < 0 {
		return 0, time.Time{}, false
	}
	p.duty.ask(func(now time.Time, s *lease.Set) {
		l := s.Lease(p.shard)
		ok = l.MayOrderUnfenced(now)
		fencing, deadline = l.Fencing(), l.Deadline(now)
	})
	return fencing, deadline, ok
}

// waitOut returns how long orders to endpoints that ignore fencing numbers must
// still wait.
func (p permit) waitOut() (wait time.Duration) {
	if p.shard < 0 {
		return 0
	}
	p.duty.ask(func(now time.Time, s *lease.Set) { wait = s.Lease(p.shard).UnfencedWait(now) })
	return wait
}

// giveUp gives the leases up, each once its orders have ended, so that others
// need not wait for them to run out.
func (d *leasingDuty) giveUp() {
	d.hint(func(_ time.Time, s *lease.Set) { s.Leave() })
}

// whileHeld calls work at each interval at which this daemon holds the duty's
// lease, and forget at the others: what a holder remembers is of no use later.
func (d *leasingDuty) whileHeld(ctx context.Context, duty string, interval time.Duration, work func(context.Context), forget func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if len(d.held(duty)) == 0 {
			forget()
			continue
		}
		work(ctx)
	}
}
