package daemon

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/admission"
	"github.com/cyclamenbeam/cyclamenbeam/internal/admission/allowance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

const (
	// poolInterval is how often the bounds on requests in flight follow the
	// endpoints' reports.
	poolInterval = 250 * time.Millisecond
	// slotsPerEngine is assumed of an engine that has not reported yet.
	slotsPerEngine = 8
	// serviceSlots is how many calls a replica of a plain service takes at
	// once; such services report no load.
	serviceSlots = 64
)

// poolDuty bounds this daemon's requests in flight by what the endpoints report.
type poolDuty struct {
	routing   *routingDuty
	observing *observingDuty
	admission *admissionDuty
	roster    *roster
	busy      busyTime
}

func (d *poolDuty) run(ctx context.Context) {
	ticker := time.NewTicker(poolInterval)
	defer ticker.Stop()
	for {
		d.update()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (d *poolDuty) update() {
	defer d.busy.since(time.Now())
	samples := d.samples()
	daemons := max(1, len(d.roster.view.Load().serving))
	d.admission.tell(func(_ time.Time, s *admissionState) {
		for p, sample := range samples {
			sample.InFlight = s.limits.PoolState(p).Running
			sample.Running = max(sample.Running, sample.InFlight) // reports lag, services make none
			sample.Daemons = daemons
			s.limits.SetCapacity(p, allowance.Of(sample))
		}
	})
}

// samples sums the live endpoints' reports by pool.
func (d *poolDuty) samples() map[admission.Pool]allowance.Sample {
	out := make(map[admission.Pool]allowance.Sample)
	engines := make(map[admission.Pool]int)
	for _, e := range d.routing.current.Load().list {
		if e.State != fleet.Live {
			continue
		}
		if e.Kind == fleet.ServiceEndpoint {
			p := servicePool(e.Service)
			sample := out[p]
			sample.Slots += serviceSlots
			out[p] = sample
			continue
		}
		d.addEngine(out, engines, e)
	}
	for p, n := range engines {
		sample := out[p]
		sample.Backlog /= float64(n)
		out[p] = sample
	}
	return out
}

// addEngine counts an engine for each model that it holds. Its slots are
// shared by its models; requests of one model count against all of them.
func (d *poolDuty) addEngine(out map[admission.Pool]allowance.Sample, engines map[admission.Pool]int, e fleet.Endpoint) {
	load, ok := d.observing.load(e.ID)
	if !ok {
		load.Slots = slotsPerEngine
	}
	seen := make(map[admission.Pool]bool, len(e.Models))
	for _, m := range e.Models {
		p := admission.Pool(m.Model)
		if seen[p] {
			continue
		}
		seen[p] = true
		sample := out[p]
		sample.Slots += load.Slots
		sample.Running += load.Running
		sample.Queued += load.Queued
		if load.PrefillPerSecond > 0 {
			sample.Backlog += float64(load.QueuedPromptTokens) / float64(load.PrefillPerSecond)
		}
		engines[p]++
		out[p] = sample
	}
}

func servicePool(name string) admission.Pool { return admission.Pool("service " + name) }
