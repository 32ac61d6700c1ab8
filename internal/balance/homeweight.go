package balance

import "github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"

// homeWeight is the weight of a member among the homes, for the slowness it was computed from.
type homeWeight struct {
	of     slowness
	weight rendezvous.Weight
}

// weight returns the member's weight among the homes: its speed.
func (m *member) weight() rendezvous.Weight {
	if m.homeWeight.of != m.slow {
		m.homeWeight = homeWeight{m.slow, rendezvous.WeightOf(m.slow.speed())}
	}
	return m.homeWeight.weight
}

// MeanSpeed returns the mean speed of a service's endpoints that take requests, compared to
// the usual one; 1 without endpoints.
func (b *Balancer) MeanSpeed(service string) float64 {
	all := b.active[service]
	if len(all) == 0 {
		return 1
	}
	sum := 0.0
	for _, m := range all {
		sum += m.slow.speed()
	}
	return sum / float64(len(all))
}
