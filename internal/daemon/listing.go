package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside"
)

// listingDuty reads the instance list.
type listingDuty struct {
	instances outside.Instances
	interval  time.Duration
	spread    time.Duration // over which daemons that start together read it first
	mustKnow  func() bool   // the list is to be read often, whatever its size
	onList    func(listapi.List)
	bytes     *byteCount
	log       *logrus.Entry
}

// run reads the list until ctx ends. What was read last stays in force while
// the list is away: endpoints that vanish meanwhile are found by failed calls.
func (d *listingDuty) run(ctx context.Context) {
	d.spreadStart(ctx)
	failing := false
	for ctx.Err() == nil {
		pause := d.interval
		list, err := d.instances.List(ctx)
		switch {
		case err == nil:
			if failing {
				d.log.Info("instance list is back")
			}
			failing = false
			d.onList(list)
			pause = d.read(&list)
		case ctx.Err() == nil && !failing:
			failing = true
			d.log.WithError(err).Warn("instance list not read; going on with the last one")
		}
		d.wait(ctx, pause)
	}
}

// spreadStart waits for a random moment. Daemons that restart together know
// only their seeds, and each would take a seed's share of the platform.
func (d *listingDuty) spreadStart(ctx context.Context) {
	if d.spread <= 0 {
		return
	}
	select {
	case <-time.After(rand.N(d.spread)):
	case <-ctx.Done():
	}
}

// read counts an answer and returns how long it stays in force.
func (d *listingDuty) read(list *listapi.List) time.Duration {
	bytes := listBytes(list)
	d.bytes.in.Add(uint64(bytes))
	return listPause(d.interval, bytes, d.mustKnow())
}

// wait ends early when the list becomes more urgent.
func (d *listingDuty) wait(ctx context.Context, pause time.Duration) {
	ticker := time.NewTicker(d.interval)
	defer ticker.Stop()
	for end := time.Now().Add(pause - d.interval/2); ; {
		select {
		case now := <-ticker.C:
			if now.After(end) || d.mustKnow() {
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// leavingEndpoints returns the endpoints that a list marks as leaving.
func leavingEndpoints(list listapi.List) []fleet.Endpoint {
	var out []fleet.Endpoint
	for _, e := range list.Endpoints {
		if e.State == fleet.Leaving {
			out = append(out, e)
		}
	}
	return out
}
