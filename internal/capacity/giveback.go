package capacity

import (
	"cmp"
	"slices"
	"time"
)

// giveBack gives back the instances that the demand and its reserve don't need, the
// most expensive first, once there has been a surplus for KeepFor. Only ready
// instances count, so none is given back before its replacement is ready.
func (p *Planner) giveBack(now time.Time, in Input, s *survey, res *Result) {
	rate, _ := in.Demand.Peak(now, now.Add(p.cfg.KeepFor+p.cfg.StartTime))
	keep := goal{need: rate * (1 + p.cfg.Headroom), part: p.cfg.Reserve}
	extra := p.extra(now, in, s, keep)
	if len(extra) == 0 {
		p.surplus = time.Time{}
		return
	}
	if p.surplus.IsZero() {
		p.surplus = now
	}
	if now.Sub(p.surplus) < p.cfg.KeepFor {
		return
	}
	for _, h := range extra {
		p.end(h.intent, Surplus, res)
	}
	p.surplus = time.Time{}
}

// extra returns the instances without which keep is still reached, the most
// expensive for their throughput first.
func (p *Planner) extra(now time.Time, in Input, s *survey, keep goal) []held {
	prices := p.market(now, in.Prices).prices
	unit := func(h held) float64 { return prices[h.intent.choice()] / h.rate }
	byPrice := slices.Clone(s.serving)
	slices.SortStableFunc(byPrice, func(a, b held) int { return cmp.Compare(unit(b), unit(a)) })
	left := s.ready
	var extra []held
	for _, h := range byPrice {
		if less := left.without(h.intent.DataCentre, h.rate); keep.reached(less) {
			left = less
			extra = append(extra, h)
		}
	}
	return extra
}
