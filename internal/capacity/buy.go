package capacity

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
)

// launchAgain retries launches without a known outcome, made by this planner or by
// an earlier holder of the shard. The client token is the same, so nothing is
// bought twice.
func (p *Planner) launchAgain(now time.Time, res *Result) {
	for _, i := range res.Record.Intents {
		t := token(p.shard, i.Number)
		if i.Instance != "" || p.calls[t].pending {
			continue
		}
		if b := p.backoffs[i.choice()]; b == nil || !now.Before(b.until) {
			p.launch(i, res)
		}
	}
}

func (p *Planner) launch(i Intent, res *Result) {
	t := token(p.shard, i.Number)
	p.calls[t] = call{pending: true}
	res.Launches = append(res.Launches, cloudapi.Launch{
		ClientToken: t,
		Class:       i.Class,
		DataCentre:  i.DataCentre,
		OnDemand:    i.OnDemand,
	})
}

// buy records and launches the instances that the demand needs beyond those wanted.
func (p *Planner) buy(now time.Time, in Input, s *survey, res *Result) {
	rate, when := in.Demand.Peak(now, now.Add(p.cfg.StartTime+p.cfg.RetryTime))
	if p.urgent(now, rate, when, s) {
		p.order(plain(rate, s.all, p.onDemand(now, in.Prices)), s, res)
	}
	g := goal{need: rate * (1 + p.cfg.Headroom), part: p.cfg.Reserve}
	offers := p.market(now, in.Prices).offers
	buy, ok := cheapest(g, s.all, offers)
	if !ok {
		buy = plain(g.need, s.all, offers)
		res.Short = max(0, g.need-s.all.surviving(g.part))
	}
	if ok && len(buy) == 0 && s.starting == 0 {
		buy = p.exchange(now, in, s, g)
	}
	p.order(buy, s, res)
}

// urgent reports whether on-demand instances are to be bought: the instances that
// serve or start have been too few for Patience, and no time is left for more
// refusals.
func (p *Planner) urgent(now time.Time, rate float64, when time.Time, s *survey) bool {
	near := when.Sub(now) <= p.cfg.StartTime+p.cfg.RetryTime/2
	if !near || s.all.total() >= rate {
		p.short = time.Time{}
		return false
	}
	if p.short.IsZero() {
		p.short = now
	}
	return now.Sub(p.short) >= p.cfg.Patience
}

// order records and launches purchases, up to MaxLaunches in one plan.
func (p *Planner) order(buy []offer, s *survey, res *Result) {
	for _, o := range buy[:min(len(buy), max(0, p.cfg.MaxLaunches-len(res.Launches)))] {
		p.launch(res.Record.add(o.choice), res)
		s.all[o.dataCentre] += o.rate
		s.starting++
		res.Changed = true
	}
}

// exchange returns purchases towards the cheapest mix if the serving instances cost
// more than it by over SwitchGain. The replaced instances become a surplus once the
// new ones are ready.
func (p *Planner) exchange(now time.Time, in Input, s *survey, g goal) []offer {
	m := p.market(now, in.Prices)
	ideal, ok := cheapest(g, holding{}, m.offers)
	if !ok {
		return nil
	}
	best, paid := 0.0, 0.0
	have := make(map[choice]int)
	for _, o := range ideal {
		best += o.price
	}
	for _, h := range s.serving {
		paid += m.prices[h.intent.choice()]
		have[h.intent.choice()]++
	}
	if paid <= best*(1+p.cfg.SwitchGain) {
		return nil
	}
	var missing []offer
	for _, o := range ideal {
		if have[o.choice]--; have[o.choice] < 0 {
			missing = append(missing, o)
		}
	}
	return missing
}
