package capacity

import (
	"cmp"
	"slices"
	"time"
)

// giveBackSurplus gives back the instances that the demand and its reserve don't
// need, the most expensive first, once there has been a surplus for KeepFor. Only
// ready instances count, so none is given back before its replacement is ready.
func (p *Planner) giveBackSurplus(now time.Time, in Input, s *inventory, res *Result) {
	rate, _ := in.Demand.Peak(now, now.Add(p.cfg.KeepFor+p.cfg.StartTime))
	keep := goal{need: rate * (1 + p.cfg.Headroom), loss: p.cfg.Reserve}
	extra := p.surplusInstances(now, in, s, keep)
	if len(extra) == 0 {
		p.surplusSince = time.Time{}
		return
	}
	if p.surplusSince.IsZero() {
		p.surplusSince = now
	}
	if now.Sub(p.surplusSince) < p.cfg.KeepFor {
		return
	}
	for _, h := range extra {
		p.giveBackInstance(h.intent, Surplus, res)
	}
	p.surplusSince = time.Time{}
}

// surplusInstances returns the instances without which keep is still met, the most
// expensive for their throughput first.
func (p *Planner) surplusInstances(now time.Time, in Input, s *inventory, keep goal) []readyInstance {
	prices := p.market(now, in.Prices).prices
	unit := func(h readyInstance) float64 { return prices[h.intent.kind()] / h.rate }
	byPrice := slices.Clone(s.serving)
	slices.SortStableFunc(byPrice, func(a, b readyInstance) int { return cmp.Compare(unit(b), unit(a)) })
	left := s.ready
	var extra []readyInstance
	for _, h := range byPrice {
		if less := left.without(h.intent.DataCentre, h.rate); keep.met(less) {
			left = less
			extra = append(extra, h)
		}
	}
	return extra
}
