package node

import (
	"context"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/duty"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/scaling"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// scalingTick is how often the number of endpoints is planned.
const scalingTick = 500 * time.Millisecond

// scalingDuty orders endpoints. Only the duties' goroutine uses it.
type scalingDuty struct {
	duties   *duties
	planners map[string]*scaling.Planner // by service
	last     time.Time
	work     map[string]relay.Work // totals at the last sample, by service
	enabled  bool
}

func newScalingDuty(d *duties) *scalingDuty {
	return &scalingDuty{
		duties:   d,
		planners: map[string]*scaling.Planner{},
		work:     map[string]relay.Work{},
		enabled:  slices.Contains(d.node.settings.Cloud.Duties, "scale"),
	}
}

// step plans and orders where that is due. A service that moves to another version is left
// out: it has two sets of endpoints, and an order for fewer could remove either.
func (s *scalingDuty) step(ctx context.Context, now time.Time) {
	t := s.duties.node.Table()
	if !s.enabled || t == nil || now.Sub(s.last) < scalingTick {
		return
	}
	elapsed := scalingTick
	if !s.last.IsZero() {
		elapsed = now.Sub(s.last)
	}
	s.last = now
	var work map[string]relay.Work
	s.duties.node.peers.withHub(func(h *exchange.Hub) { work = h.Work() })
	for i := range t.Services {
		if service := &t.Services[i]; service.Scaling != nil && !s.duties.node.rollouts.runs(service.Name) {
			s.plan(ctx, now, s.sample(service, work[service.Name], elapsed))
		}
	}
}

// sample returns a service's endpoints and its work in the whole fleet.
func (s *scalingDuty) sample(service *route.Service, work relay.Work, elapsed time.Duration) *scaling.Sample {
	out := &scaling.Sample{
		Service:         service,
		Serving:         map[scaling.Place]int{},
		Leaving:         map[scaling.Place]int{},
		PrefillCapacity: s.duties.node.state.PrefillRate(),
		MeanSpeed:       s.duties.node.state.MeanSpeed(service.Name),
		Seconds:         elapsed.Seconds(),
	}
	// A total decreases where a daemon that is gone was dropped; and a new holder has no
	// earlier totals to compare with.
	if last, ok := s.work[service.Name]; ok {
		out.Slots = max(work.SlotSeconds-last.SlotSeconds, 0) / out.Seconds
		out.Prefill = max(work.Prefill-last.Prefill, 0) / out.Seconds
		out.Prompt = max(work.Prompt-last.Prompt, 0) / out.Seconds
		out.Requests = max(float64(work.Requests-last.Requests), 0) / out.Seconds
	}
	s.work[service.Name] = work
	limits := s.duties.node.state.RateLimits(service.Name)
	all, _ := s.duties.node.endpoints.list()
	for _, e := range all {
		if e.Service != service.Name {
			continue
		}
		place := scaling.Place{DataCentre: e.DataCentre, Spot: e.Spot}
		if e.Draining {
			out.Leaving[place]++
		} else {
			out.Serving[place]++
			if limit, ok := limits[e.ID]; ok {
				out.RateLimits = append(out.RateLimits, limit)
			}
		}
	}
	return out
}

func (s *scalingDuty) plan(ctx context.Context, now time.Time, sample *scaling.Sample) {
	p := s.planners[sample.Service.Name]
	if p == nil {
		p = scaling.New()
		s.planners[sample.Service.Name] = p
	}
	for _, o := range p.Plan(now, sample) {
		s.order(ctx, p, sample, o)
	}
}

func (s *scalingDuty) order(ctx context.Context, p *scaling.Planner, sample *scaling.Sample, o scaling.Order) {
	f, ok := s.duties.fence()
	if !ok {
		p.Failed(o)
		return
	}
	log := s.duties.log.WithFields(map[string]any{
		"service": sample.Service.Name, "data_centre": o.DataCentre, "spot": o.Spot, "count": o.Count,
		"here": sample.Serving[o.Place], "slots": sample.Slots, "read": sample.Prefill, "prompt": sample.Prompt, "read_rate": sample.PrefillCapacity,
	})
	s.duties.call(ctx, func() func(time.Time) {
		err := s.duties.node.platform.Cloud.Order(ctx, f, duty.Order{
			Service: sample.Service.Name, DataCentre: o.DataCentre, Spot: o.Spot, Count: o.Count,
		})
		return func(now time.Time) {
			switch {
			case err == nil:
				log.Info("endpoints ordered")
			case verdict.Of(err) == verdict.NotRun:
				log.WithError(err).Warn("order refused")
				p.Refused(now, o)
			default:
				log.WithError(err).Warn("order unanswered")
				p.Failed(o)
			}
		}
	})
}
