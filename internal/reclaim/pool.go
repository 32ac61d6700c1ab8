package reclaim

import (
	"sort"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// maxDraws is how often a target is drawn before all are looked at.
const maxDraws = 6

// pool is the targets that serve one model.
type pool struct {
	candidates []*candidate
	cumulative []float64 // upTo[i] is the weight of targets[0..i]
}

// newPool weighs each target by its free room. Daemons plan apart from each
// other with the same reports: if all took the target with the most room, a
// wave would bury it. Drawing by weight spreads them in proportion to the room.
func newPool(candidates []*candidate) *pool {
	p := &pool{candidates: candidates, cumulative: make([]float64, len(candidates))}
	sum := 0.0
	for i, c := range candidates {
		sum += c.weight()
		p.cumulative[i] = sum
	}
	return p
}

// reserve reserves room for a stream of so many tokens, nil where there is none.
func (p *pool) reserve(key uint64, tokens int) *candidate {
	if len(p.candidates) == 0 {
		return nil
	}
	total := p.cumulative[len(p.cumulative)-1]
	for n := range maxDraws {
		at := p.draw(key, n, total)
		if p.candidates[at].reserve(tokens) {
			return p.candidates[at]
		}
	}
	return p.reserveMostFree(tokens)
}

// draw returns the index of the n-th target drawn for key.
func (p *pool) draw(key uint64, n int, total float64) int {
	unit := float64(rendezvous.Score(key+uint64(n), "")>>11) / (1 << 53)
	at := sort.SearchFloat64s(p.cumulative, unit*total)
	return min(at, len(p.candidates)-1)
}

func (p *pool) reserveMostFree(tokens int) *candidate {
	var best *candidate
	for _, c := range p.candidates {
		if best == nil || c.freeTokens > best.freeTokens {
			if c.freeSlots > 0 {
				best = c
			}
		}
	}
	if best == nil || !best.reserve(tokens) {
		return nil
	}
	return best
}
