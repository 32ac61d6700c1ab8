package node

import (
	"context"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/duty"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/scaling"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// scalingTick is how often the number of endpoints is decided.
const scalingTick = 500 * time.Millisecond

// scalingDuty orders endpoints. It belongs to the duties' goroutine.
type scalingDuty struct {
	duties   *duties
	planners map[string]*scaling.Planner // by service
	last     time.Time
	refused  map[string]int // totals at the last sample, by service
	enabled  bool
}

func newScalingDuty(d *duties) *scalingDuty {
	return &scalingDuty{
		duties:   d,
		planners: map[string]*scaling.Planner{},
		refused:  map[string]int{},
		enabled:  slices.Contains(d.node.settings.Cloud.Duties, "scale"),
	}
}

// step decides and orders where that is due.
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
	var load map[fleet.EndpointID]balance.Load
	var work map[string]relay.Work
	s.duties.node.telling.ask(func(h *exchange.Hub) { load, work = h.Load(now), h.Work() })
	for i := range t.Services {
		if service := &t.Services[i]; service.Scaling != nil {
			s.plan(ctx, now, s.sample(service, load, work[service.Name], elapsed))
		}
	}
}

// sample describes a service as the fleet sees it.
func (s *scalingDuty) sample(service *route.Service, load map[fleet.EndpointID]balance.Load, work relay.Work, elapsed time.Duration) *scaling.Sample {
	out := &scaling.Sample{
		Service: service,
		Here:    map[scaling.Place]int{},
		Refused: max(work.Refused-s.refused[service.Name], 0),
		Seconds: elapsed.Seconds(),
	}
	s.refused[service.Name] = work.Refused
	all, _ := s.duties.node.endpoints.list()
	for _, e := range all {
		if e.Service != service.Name {
			continue
		}
		out.Requests += load[e.ID].Requests
		if !e.Draining {
			out.Here[scaling.Place{DataCentre: e.DataCentre, Spot: e.Spot}]++
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
		"here": sample.Here[o.Place], "requests": sample.Requests, "refused": sample.Refused,
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
