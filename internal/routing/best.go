package routing

import (
	"math"

	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/prefix"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/scorer"
)

// randomDraws is the number of random members among the candidates, for load. With
// the index's matches and the rendezvous choices they are all a pick looks at,
// whatever the fleet's size.
const randomDraws = 2

// affinityBlocks is the least depth, in blocks, of the beginning that decides
// where a prompt belongs, where the prompt is that long. Within 256 tokens
// most prompts have come to what sets them apart.
const affinityBlocks = 16

// scratch is reused by every pick, so that none allocates.
type scratch struct {
	matches    []prefix.Match
	candidates []candidate
}

// affinityKey names the group of prompts that belong together: the hash of
// the leading blocks down to a power of two, so that a growing conversation
// keeps its key. The depth doubles past blocks that are common: keyed by the
// instructions that all prompts of an application share, all would have one
// owner. 0 is a prompt without a full block.
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

// cheapest is our policy: candidates from the prefix index, from rendezvous and
// from random draws, priced by the scorers; the cheapest wins. The draws keep
// a lagging report from sending everybody to the engine that was idle when it
// was made: few requests look at it at once (Mitzenmacher, 2001).
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

// gatherRanked adds the rendezvous choices and marks the one that other
// daemons choose as well: the first that is not overloaded (consistent hashing
// with bounded loads; Mirrokni, Thorup and Zadimoghaddam, 2016, with the
// engine's own limits as the bound). When all are, spilling would only add
// recomputed tokens to the overload, and it is the first again.
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

// addCandidate adds an endpoint once and returns it. Its place may move with
// the next call.
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

func (e *endpoint) in(s *replicaSet) bool {
	for _, have := range e.sets {
		if have == s {
			return true
		}
	}
	return false
}
