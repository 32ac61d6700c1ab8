package capacity

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
)

// retryLaunches retries launches without a known outcome, made by this planner or by
// an earlier holder of the shard. The client token is the same, so nothing is
// bought twice.
func (p *Planner) retryLaunches(now time.Time, res *Result) {
	for _, i := range res.Record.Intents {
		t := token(p.shard, i.Number)
		if i.Instance != "" || p.calls[t].pending {
			continue
		}
		if b := p.backoffs[i.kind()]; b == nil || !now.Before(b.until) {
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
func (p *Planner) buy(now time.Time, in Input, s *inventory, res *Result) {
	rate, when := in.Demand.Peak(now, now.Add(p.cfg.StartTime+p.cfg.RetryTime))
	if p.needsOnDemand(now, rate, when, s) {
		p.purchase(withoutReserve(rate, s.all, p.onDemand(now, in.Prices)), s, res)
	}
	g := goal{need: rate * (1 + p.cfg.Headroom), loss: p.cfg.Reserve}
	offers := p.market(now, in.Prices).offers
	buy, ok := cheapestMix(g, s.all, offers)
	if !ok {
		buy = withoutReserve(g.need, s.all, offers)
		res.Shortfall = max(0, g.need-s.all.surviving(g.loss))
	}
	if ok && len(buy) == 0 && s.starting == 0 {
		buy = p.exchange(now, in, s, g)
	}
	p.purchase(buy, s, res)
}

// needsOnDemand reports whether on-demand instances are to be bought: the instances
// that serve or start have been too few for Patience, and no time is left for more
// refusals.
func (p *Planner) needsOnDemand(now time.Time, rate float64, when time.Time, s *inventory) bool {
	near := when.Sub(now) <= p.cfg.StartTime+p.cfg.RetryTime/2
	if !near || s.all.total() >= rate {
		p.shortSince = time.Time{}
		return false
	}
	if p.shortSince.IsZero() {
		p.shortSince = now
	}
	return now.Sub(p.shortSince) >= p.cfg.Patience
}

// purchase records and launches purchases, up to MaxLaunches in one plan.
func (p *Planner) purchase(buy []offer, s *inventory, res *Result) {
	for _, o := range buy[:min(len(buy), max(0, p.cfg.MaxLaunches-len(res.Launches)))] {
		p.launch(res.Record.add(o.kind), res)
		s.all[o.dataCentre] += o.rate
		s.starting++
		res.Changed = true
	}
}

// exchange returns purchases towards the cheapest mix if the serving instances cost
// more than it by over SwitchGain. The replaced instances become a surplus once the
// new ones are ready.
func (p *Planner) exchange(now time.Time, in Input, s *inventory, g goal) []offer {
	m := p.market(now, in.Prices)
	ideal, ok := cheapestMix(g, dcRates{}, m.offers)
	if !ok {
		return nil
	}
	best, paid := 0.0, 0.0
	have := make(map[kind]int)
	for _, o := range ideal {
		best += o.price
	}
	for _, h := range s.serving {
		paid += m.prices[h.intent.kind()]
		have[h.intent.kind()]++
	}
	if paid <= best*(1+p.cfg.SwitchGain) {
		return nil
	}
	var missing []offer
	for _, o := range ideal {
		if have[o.kind]--; have[o.kind] < 0 {
			missing = append(missing, o)
		}
	}
	return missing
}
