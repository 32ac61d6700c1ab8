package routing

import (
	"math"

	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/prefix"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/scorer"
)

// randomDraws is the number of members that each pick draws at random, to
// balance the load. Besides these, only the prefix index's matches and the
// rendezvous choices are candidates, whatever the fleet's size.
const randomDraws = 2

// affinityBlocks is the number of leading blocks that decide on a prompt's
// owner, unless the prompt is shorter or these blocks are common to many
// prompts. Most prompts differ within 256 tokens.
const affinityBlocks = 16

// scratch holds slices that are reused so that a pick does not allocate.
type scratch struct {
	matches    []prefix.Match
	candidates []candidate
}

// affinityKey returns the key by which a prompt is assigned to its owner: the
// chained hash of its leading blocks. Their number is a power of two, so that a
// growing conversation seldom changes its key. It doubles while the blocks are
// common to many prompts: if the key covered only the instructions that all
// prompts of an application share, these would all have one owner. The key of a
// prompt without a full block is 0.
func (r *Router) affinityKey(q *Request) uint64 {
	if len(q.Blocks) == 0 {
		return 0
	}
	depth := 1
	for 2*depth <= min(len(q.Blocks), affinityBlocks) {
		depth *= 2
	}
	for 2*depth <= len(q.Blocks) && r.index.Common(q.Blocks[depth-1]) {
		depth *= 2
	}
	return q.Blocks[depth-1]
}

// cheapest is the policy Cyclamenbeam: it returns the candidate of least cost
// among the prefix index's matches, the rendezvous choices and some random
// draws. As each pick draws only a few engines, a stale report can't attract all
// requests to the engine that was idle when it was made (Mitzenmacher, 2001).
func (r *Router) cheapest(now int64, s *replicaSet, q *Request, f filter) candidate {
	r.gather(now, s, q, f)
	least, at := math.Inf(1), -1
	for i := range r.scratch.candidates {
		if cost := r.cost(s, q, &r.scratch.candidates[i]); cost < least {
			least, at = cost, i
		}
	}
	if at < 0 {
		return candidate{}
	}
	return r.scratch.candidates[at]
}

// gather collects the candidates of a pick in the scratch slices.
func (r *Router) gather(now int64, s *replicaSet, q *Request, f filter) {
	r.picks++
	sc := &r.scratch
	sc.candidates = sc.candidates[:0]
	common := 0
	sc.matches, common = r.index.Lookup(q.Blocks, sc.matches[:0])
	for _, m := range sc.matches {
		e := r.byHandle[m.Handle]
		if m.Blocks > common && e != nil && e.usable() && e.in(s) && f.ok(e) {
			r.addCandidate(now, e, q, m.Blocks, ByCache)
		}
	}
	r.gatherRanked(now, s, q, f, common)
	for range randomDraws {
		if e := s.random(f, r.rng); e != nil {
			r.addCandidate(now, e, q, common, ByLoad)
		}
	}
}

// gatherRanked adds rendezvous choices in their order, up to the first that is
// not overloaded, and marks that one as agreed: other daemons choose it too.
// This is consistent hashing with bounded loads (Mirrokni, Thorup and
// Zadimoghaddam, 2016), with the engines' own limits as the bound. If all are
// overloaded, the agreed one is the first, since spilling would only add
// recomputed tokens to the overload.
func (r *Router) gatherRanked(now int64, s *replicaSet, q *Request, f filter, common int) {
	key := r.affinityKey(q)
	if key == 0 {
		return
	}
	best := s.rank(key, f.ok)
	reason := ByOwner
	for _, e := range best.endpoints[:best.n] {
		c := r.addCandidate(now, e, q, common, reason)
		if !c.overloaded(r.target, 1) {
			c.agreed = true
			return
		}
		reason = BySpill
	}
	if best.n > 0 {
		r.scratch.find(best.endpoints[0]).agreed = true
	}
}

// addCandidate adds an endpoint unless it is a candidate already, and returns
// the candidate. The pointer is valid until the next call.
func (r *Router) addCandidate(now int64, e *endpoint, q *Request, blocks int, reason Reason) *candidate {
	sc := &r.scratch
	if e.lastPick == r.picks {
		return sc.find(e)
	}
	e.lastPick = r.picks
	c := r.predict(now, e, q, blocks)
	c.reason = reason
	sc.candidates = append(sc.candidates, c)
	return &sc.candidates[len(sc.candidates)-1]
}

func (sc *scratch) find(e *endpoint) *candidate {
	for i := range sc.candidates {
		if sc.candidates[i].endpoint == e {
			return &sc.candidates[i]
		}
	}
	return nil
}

func (r *Router) cost(s *replicaSet, q *Request, c *candidate) float64 {
	in := scorer.Input{
		FirstToken:   c.firstToken,
		Target:       r.target.firstToken,
		Uncached:     float64(q.PromptTokens - c.cached),
		MaxTokens:    q.MaxTokens,
		Utilisation:  c.utilisation(),
		Saving:       s.saving(c.endpoint),
		Agreed:       c.agreed,
		DialsFailing: c.endpoint.health.DialsFailing(),
	}
	return scorer.Cost(r.config.Weights, &in)
}

// in reports whether the endpoint belongs to a set.
func (e *endpoint) in(s *replicaSet) bool {
	for _, have := range e.sets {
		if have == s {
			return true
		}
	}
	return false
}
