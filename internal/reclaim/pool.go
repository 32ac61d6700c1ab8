package reclaim

import (
	"sort"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// probes is how often a target is drawn before all are looked at.
const probes = 6

// pool is the targets that serve one model.
type pool struct {
	targets []*room
	upTo    []float64 // upTo[i] is the weight of targets[0..i]
}

// newPool weighs each target by its free room. Daemons plan apart from each
// other with the same reports: if all took the target with the most room, a
// wave would bury it. Drawing by weight spreads them in proportion to the room.
func newPool(targets []*room) *pool {
	p := &pool{targets: targets, upTo: make([]float64, len(targets))}
	sum := 0.0
	for i, t := range targets {
		sum += t.weight()
		p.upTo[i] = sum
	}
	return p
}

// take reserves room for a stream of so many tokens, nil where there is none.
func (p *pool) take(key uint64, tokens int) *room {
	if len(p.targets) == 0 {
		return nil
	}
	total := p.upTo[len(p.upTo)-1]
	for n := range probes {
		at := p.draw(key, n, total)
		if p.targets[at].reserve(tokens) {
			return p.targets[at]
		}
	}
	return p.roomiest(tokens)
}

// draw returns the index of the n-th target drawn for key.
func (p *pool) draw(key uint64, n int, total float64) int {
	unit := float64(rendezvous.Score(key+uint64(n), "")>>11) / (1 << 53)
	at := sort.SearchFloat64s(p.upTo, unit*total)
	return min(at, len(p.targets)-1)
}

func (p *pool) roomiest(tokens int) *room {
	var best *room
	for _, t := range p.targets {
		if best == nil || t.tokens > best.tokens {
			if t.slots > 0 {
				best = t
			}
		}
	}
	if best == nil || !best.reserve(tokens) {
		return nil
	}
	return best
}
