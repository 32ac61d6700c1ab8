package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// holding is the throughput of the instances by data centre, in tokens a second.
type holding map[fleet.DataCentre]float64

func (h holding) total() float64 {
	sum := 0.0
	for _, rate := range h {
		sum += rate
	}
	return sum
}

func (h holding) largest() float64 {
	largest := 0.0
	for _, rate := range h {
		largest = max(largest, rate)
	}
	return largest
}

// surviving returns the throughput left after the loss of a fraction, part, of the
// largest data centre.
func (h holding) surviving(part float64) float64 {
	return h.total() - part*h.largest()
}

func (h holding) clone() holding {
	c := make(holding, len(h))
	for dc, rate := range h {
		c[dc] = rate
	}
	return c
}

// goal is the throughput that must be left after the loss of a fraction of the
// largest data centre.
type goal struct {
	need float64 // tokens a second
	part float64 // fraction of the largest data centre that may be lost
}

func (g goal) reached(h holding) bool { return h.surviving(g.part) >= g.need }

// cheapest returns the cheapest purchases that reach g. If no data centre may hold
// more than M, the cheapest solution fills the cheapest data centres up to M. The
// cost is piecewise linear in M, with corners where m data centres are exactly
// full, at need/(m-part) each. So only these values of M, and the present
// throughput of the largest data centre, are tried.
func cheapest(g goal, have holding, offers []offer) (buy []offer, ok bool) {
	sites := bySite(offers)
	levels := []float64{have.largest()}
	for m := 1; m <= len(sites)+len(have); m++ {
		if spread := float64(m) - g.part; spread > 0 {
			levels = append(levels, g.need/spread)
		}
	}
	best := 0.0
	for _, level := range levels {
		plan, cost, reached := fill(g, level, have, sites)
		if reached && (!ok || cost < best) {
			buy, best, ok = plan, cost, true
		}
	}
	return buy, ok
}

// site is the offers of a data centre, by rising unit price.
type site struct {
	dataCentre fleet.DataCentre
	offers     []offer
}

// bySite groups offers by data centre, in order of each one's lowest unit price.
func bySite(offers []offer) []site {
	sorted := slices.Clone(offers)
	slices.SortStableFunc(sorted, func(a, b offer) int { return cmp.Compare(a.unit(), b.unit()) })
	var sites []site
	for _, o := range sorted {
		i := slices.IndexFunc(sites, func(s site) bool { return s.dataCentre == o.dataCentre })
		if i < 0 {
			i = len(sites)
			sites = append(sites, site{dataCentre: o.dataCentre})
		}
		sites[i].offers = append(sites[i].offers, o)
	}
	return sites
}

// fill buys in the cheapest data centres, up to level in each, until g is reached.
func fill(g goal, level float64, have holding, sites []site) (buy []offer, cost float64, ok bool) {
	h := have.clone()
	for _, s := range sites {
		for !g.reached(h) && h[s.dataCentre] < level {
			missing := min(level-h[s.dataCentre], g.need+g.part*level-h.total())
			o := s.pick(missing)
			buy = append(buy, o)
			cost += o.price
			h[s.dataCentre] += o.rate
		}
	}
	return buy, cost, g.reached(h)
}

// pick returns the offer that covers missing at the lowest cost, in whole instances
// of one class.
func (s site) pick(missing float64) offer {
	best, least := s.offers[0], 0.0
	for i, o := range s.offers {
		count := max(1, math.Ceil(missing/o.rate))
		if cost := count * o.price; i == 0 || cost < least {
			best, least = o, cost
		}
	}
	return best
}

// plain returns purchases that cover need without a reserve, at a low cost.
func plain(need float64, have holding, offers []offer) []offer {
	if len(offers) == 0 {
		return nil
	}
	all := site{offers: offers}
	var buy []offer
	for missing := need - have.total(); missing > 0; {
		o := all.pick(missing)
		buy = append(buy, o)
		missing -= o.rate
	}
	return buy
}
