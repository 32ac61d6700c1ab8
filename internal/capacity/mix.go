package capacity

import (
	"cmp"
	"math"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// dcRates is the throughput of the instances by data centre, in tokens a second.
type dcRates map[fleet.DataCentre]float64

func (h dcRates) total() float64 {
	sum := 0.0
	for _, rate := range h {
		sum += rate
	}
	return sum
}

func (h dcRates) largest() float64 {
	largest := 0.0
	for _, rate := range h {
		largest = max(largest, rate)
	}
	return largest
}

// surviving returns the throughput left after the largest data centre has lost the
// fraction loss of its own.
func (h dcRates) surviving(loss float64) float64 {
	return h.total() - loss*h.largest()
}

func (h dcRates) clone() dcRates {
	c := make(dcRates, len(h))
	for dc, rate := range h {
		c[dc] = rate
	}
	return c
}

// goal is the throughput that must be left after the loss of a fraction of the
// largest data centre.
type goal struct {
	need float64 // tokens a second
	loss float64 // fraction of the largest data centre that may be lost
}

func (g goal) met(h dcRates) bool { return h.surviving(g.loss) >= g.need }

// cheapestMix returns the cheapest purchases with which g is met. If no data centre
// may hold more than M, the cheapest solution fills the cheapest data centres up to
// M. The cost is piecewise linear in M, with corners where m data centres are
// exactly full, at need/(m-loss) each. So only these values of M, and the present
// throughput of the largest data centre, are tried.
func cheapestMix(g goal, have dcRates, offers []offer) (buy []offer, ok bool) {
	groups := byDataCentre(offers)
	levels := []float64{have.largest()}
	for m := 1; m <= len(groups)+len(have); m++ {
		if spread := float64(m) - g.loss; spread > 0 {
			levels = append(levels, g.need/spread)
		}
	}
	best := 0.0
	for _, level := range levels {
		plan, cost, reached := fill(g, level, have, groups)
		if reached && (!ok || cost < best) {
			buy, best, ok = plan, cost, true
		}
	}
	return buy, ok
}

// dcOffers is the offers of a data centre, by rising unit price.
type dcOffers struct {
	dataCentre fleet.DataCentre
	offers     []offer
}

// byDataCentre groups offers by data centre, in order of each one's lowest unit price.
func byDataCentre(offers []offer) []dcOffers {
	sorted := slices.Clone(offers)
	slices.SortStableFunc(sorted, func(a, b offer) int { return cmp.Compare(a.unit(), b.unit()) })
	var groups []dcOffers
	for _, o := range sorted {
		i := slices.IndexFunc(groups, func(s dcOffers) bool { return s.dataCentre == o.dataCentre })
		if i < 0 {
			i = len(groups)
			groups = append(groups, dcOffers{dataCentre: o.dataCentre})
		}
		groups[i].offers = append(groups[i].offers, o)
	}
	return groups
}

// fill buys in the cheapest data centres, up to level in each, until g is met.
func fill(g goal, level float64, have dcRates, groups []dcOffers) (buy []offer, cost float64, ok bool) {
	h := have.clone()
	for _, s := range groups {
		for !g.met(h) && h[s.dataCentre] < level {
			missing := min(level-h[s.dataCentre], g.need+g.loss*level-h.total())
			o := s.pick(missing)
			buy = append(buy, o)
			cost += o.price
			h[s.dataCentre] += o.rate
		}
	}
	return buy, cost, g.met(h)
}

// pick returns the offer that covers missing at the lowest cost, in whole instances
// of one class.
func (s dcOffers) pick(missing float64) offer {
	best, least := s.offers[0], 0.0
	for i, o := range s.offers {
		count := max(1, math.Ceil(missing/o.rate))
		if cost := count * o.price; i == 0 || cost < least {
			best, least = o, cost
		}
	}
	return best
}

// withoutReserve returns purchases that cover need without a reserve, at a low cost.
func withoutReserve(need float64, have dcRates, offers []offer) []offer {
	if len(offers) == 0 {
		return nil
	}
	all := dcOffers{offers: offers}
	var buy []offer
	for missing := need - have.total(); missing > 0; {
		o := all.pick(missing)
		buy = append(buy, o)
		missing -= o.rate
	}
	return buy
}
