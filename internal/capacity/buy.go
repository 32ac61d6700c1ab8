package capacity

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
)

// launchAgain repeats launches whose answer was lost, by this planner or by an
// earlier holder of the shard. The token is the same: nothing is bought twice.
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

// buy records and launches what is missing.
func (p *Planner) buy(now time.Time, in Input, s *survey, res *Result) {
	rate, when := in.Demand.Peak(now, now.Add(p.cfg.StartTime+p.cfg.RetryTime))
	g := goal{need: rate * (1 + p.cfg.Headroom), part: p.cfg.Reserve}
	buy, ok := cheapest(g, s.all, p.market(now, in.Prices, false).offers)
	if !ok {
		urgent := when.Sub(now) <= p.cfg.StartTime+p.cfg.RetryTime/2
		buy = plain(g.need, s.all, p.market(now, in.Prices, urgent).offers)
		res.Short = max(0, g.need-s.all.surviving(g.part))
	}
	if len(buy) == 0 && ok && s.moves == 0 {
		buy = p.exchange(now, in, s, g)
	}
	for _, o := range buy[:min(len(buy), p.cfg.MaxLaunches)] {
		p.launch(res.Record.add(o.choice), res)
		res.Changed = true
	}
}

// exchange returns purchases towards the cheapest mix when what is owned costs
// too much more. What they replace becomes a surplus once they are ready.
func (p *Planner) exchange(now time.Time, in Input, s *survey, g goal) []offer {
	m := p.market(now, in.Prices, false)
	ideal, ok := cheapest(g, holding{}, m.offers)
	if !ok {
		return nil
	}
	best, paid := 0.0, 0.0
	have := make(map[choice]int)
	for _, o := range ideal {
		best += o.price
	}
	for _, h := range s.idle {
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
