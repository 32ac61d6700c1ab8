package reclaim

import (
	"sort"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// maxDraws is how many targets are drawn before all are searched for the one with
// the most free tokens.
const maxDraws = 6

// pool is the candidates that serve one model.
type pool struct {
	candidates []*candidate
	cumulative []float64 // cumulative[i] is the weight of candidates[0..i]
}

// newPool weights each candidate by its free tokens. Daemons plan independently
// from the same load reports: if all chose the target with the most free tokens,
// together they would overload it. Drawing by weight distributes their streams in
// proportion to the free tokens.
func newPool(candidates []*candidate) *pool {
	p := &pool{candidates: candidates, cumulative: make([]float64, len(candidates))}
	sum := 0.0
	for i, c := range candidates {
		sum += c.weight()
		p.cumulative[i] = sum
	}
	return p
}

// reserve reserves capacity for a stream of so many tokens on a candidate. It
// returns nil if none has enough.
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

// draw returns the index of the n-th candidate drawn for key.
func (p *pool) draw(key uint64, n int, total float64) int {
	unit := float64(rendezvous.Score(key+uint64(n), "")>>11) / (1 << 53)
	at := sort.SearchFloat64s(p.cumulative, unit*total)
	return min(at, len(p.candidates)-1)
}

// reserveMostFree reserves capacity on the candidate with the most free tokens of
// those with a free slot.
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
