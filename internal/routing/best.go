package routing

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/picker"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/prefix"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/scorer"
)

// Bounds of the candidates of one pick.
const (
	draws         = 2 // random members, for load
	maxCandidates = 16
)

// keyBlocks is the depth, in blocks, up to which a prompt's beginning decides
// where it belongs: past the instructions that all prompts of an application
// share, and within the history that the turns of one conversation share.
var keyBlocks = 64

// scratch is reused by every pick, so that none allocates.
type scratch struct {
	matches    []prefix.Match
	candidates []candidate
	scored     []picker.Scored
}

// affinityKey names the group of prompts that belong together: the hash of
// the leading blocks down to the largest power of two that the prompt fills.
// A growing conversation thus changes its key only when it doubles, and not
// at all past keyBlocks. 0 is a prompt without a full block.
func affinityKey(q *Request) uint64 {
	if len(q.Blocks) == 0 {
		return 0
	}
	depth := 1
	for 2*depth <= min(len(q.Blocks), keyBlocks) {
		depth *= 2
	}
	return q.Blocks[depth-1]
}

// best is our policy: candidates from the prefix index, from rendezvous and
// from random draws, priced by the scorers.
func (r *Router) best(now int64, s *set, q *Request, f filter) candidate {
	r.gather(now, s, q, f)
	w := &r.scratch
	w.scored = w.scored[:0]
	for i := range w.candidates {
		c := &w.candidates[i]
		w.scored = append(w.scored, picker.Scored{Cost: r.cost(s, q, c), Load: c.load()})
	}
	at := picker.Pick(w.scored, r.config.NearEqual, r.rng)
	if at < 0 {
		return candidate{}
	}
	return w.candidates[at]
}

func (r *Router) gather(now int64, s *set, q *Request, f filter) {
	r.round++
	w := &r.scratch
	w.candidates = w.candidates[:0]
	common := 0
	w.matches, common = r.index.Lookup(q.Blocks, w.matches[:0])
	for _, m := range w.matches {
		e := r.slots[m.Slot]
		if m.Blocks > common && e != nil && e.usable() && e.in(s) && f.ok(e) {
			r.addCandidate(now, e, q, m.Blocks, ByCache)
		}
	}
	r.gatherRanked(now, s, q, f, common)
	for range draws {
		if e := s.random(f, r.rng); e != nil {
			r.addCandidate(now, e, q, common, ByLoad)
		}
	}
}

// gatherRanked adds the rendezvous choices. The first that is not overloaded
// is the one that the other daemons choose as well (consistent hashing with
// bounded loads; Mirrokni, Thorup and Zadimoghaddam, 2016, with the engine's
// own limits as the bound).
func (r *Router) gatherRanked(now int64, s *set, q *Request, f filter, common int) {
	key := affinityKey(q)
	if key == 0 {
		return
	}
	best := s.rank(key, f.ok)
	reason := ByOwner
	for _, e := range best.at[:best.n] {
		c := r.addCandidate(now, e, q, common, reason)
		if c == nil {
			return
		}
		if !c.overloaded(&r.targets, 1-SHIFT+DITHER*(float64(mix(key)>>11)/(1<<53)-0.5)) {
			c.agreed = true
			return
		}
		reason = BySpill
	}
	if OWN && best.n > 0 {
		if c := r.scratch.find(best.at[0]); c != nil {
			c.agreed = true
		}
	}
}

var OWN = true

// addCandidate adds an endpoint once and returns it; nil when there is no room.
func (r *Router) addCandidate(now int64, e *endpoint, q *Request, blocks int, reason Reason) *candidate {
	w := &r.scratch
	if e.round == r.round {
		return w.find(e)
	}
	if len(w.candidates) == maxCandidates {
		return nil
	}
	e.round = r.round
	c := r.foretell(now, e, q, blocks)
	c.reason = reason
	w.candidates = append(w.candidates, c)
	return &w.candidates[len(w.candidates)-1]
}

func (w *scratch) find(e *endpoint) *candidate {
	for i := range w.candidates {
		if w.candidates[i].endpoint == e {
			return &w.candidates[i]
		}
	}
	return nil
}

func (r *Router) cost(s *set, q *Request, c *candidate) float64 {
	uncached := float64(q.PromptTokens - c.cached)
	if c.agreed {
		uncached *= 1 - r.config.Weights.Owner
	}
	in := scorer.Input{
		FirstToken: c.first,
		Uncached:   uncached,
		Prompt:     q.PromptTokens,
		Answer:     q.MaxTokens,
		Requests:   c.requests,
		Limit:      c.limit,
		Price:      s.price(c.endpoint),
		Doubtful:   c.endpoint.health.Doubtful(),
	}
	return scorer.Cost(r.config.Weights, &r.targets, &in)
}

func (e *endpoint) in(s *set) bool {
	for _, have := range e.sets {
		if have == s {
			return true
		}
	}
	return false
}
