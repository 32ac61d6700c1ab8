package engine

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/prompt"
)

// prefillPlan is what prefill of a prompt and its continuation takes.
type prefillPlan struct {
	blocks     []uint64
	tail       uint64 // hash of all tokens, where the last block isn't full
	tokens     int    // of prompt and continuation
	cached     int    // tokens that need no work
	recomputed int    // tokens that need work though they were computed before
}

// prefill computes the KV cache of the prompt, one stream at a time. It
// returns false if ctx ended first.
func (e *Engine) prefill(ctx context.Context, s *stream) bool {
	tokens := len(s.prompt) + len(s.cont)
	e.awaitPrefill(tokens)
	defer e.awaitPrefill(-tokens)
	select {
	case e.prefilling <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-e.prefilling }()
	plan, took := e.planPrefill(s)
	if !sleepUntil(ctx, time.Now().Add(took)) {
		return false
	}
	e.prefilled(plan)
	s.setPrefilled(plan.cached)
	return true
}

// awaitPrefill counts prompt tokens of running streams that wait for their
// prefill.
func (e *Engine) awaitPrefill(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unprefilled += tokens
	e.changed()
}

func (e *Engine) planPrefill(s *stream) (prefillPlan, time.Duration) {
	plan := newPrefillPlan(s)
	e.mu.Lock()
	defer e.mu.Unlock()
	plan.cached = e.cache.leading(plan.blocks) * engineapi.BlockTokens
	plan.cached = max(plan.cached, covered(s, plan.tokens))
	plan.recomputed = e.recomputed(s, plan)
	seconds := float64(plan.tokens-plan.cached) / float64(e.o.PrefillPerSecond)
	return plan, time.Duration(seconds * e.slowness() * float64(time.Second))
}

// newPrefillPlan hashes the stream's prompt and continuation.
func newPrefillPlan(s *stream) prefillPlan {
	s.chain = prompt.NewChain(s.model)
	var plan prefillPlan
	for _, part := range [][]string{s.prompt, s.cont} {
		for _, t := range part {
			if s.chain.Add(t) {
				plan.blocks = append(plan.blocks, s.chain.Hash())
			}
		}
	}
	plan.tokens = s.chain.Len()
	plan.tail = s.chain.Hash()
	return plan
}

// covered is the number of leading tokens that imported KV cache holds.
func covered(s *stream, tokens int) int {
	if s.blob == nil || s.blob.Prompt != s.rendered {
		return 0
	}
	return min(s.blob.Tokens, tokens)
}

// recomputed counts the uncached tokens that some engine had computed before.
// A continuation was generated elsewhere, so all before it was computed there.
// The caller holds mu.
func (e *Engine) recomputed(s *stream, plan prefillPlan) int {
	if len(s.cont) > 0 {
		return plan.tokens - plan.cached
	}
	n := 0
	for i := range plan.blocks {
		start := i * engineapi.BlockTokens
		end := start + engineapi.BlockTokens
		if end > plan.cached && e.o.Registry.Has(plan.blocks[i]) {
			n += end - max(start, plan.cached)
		}
	}
	rest := plan.tokens - max(plan.cached, len(plan.blocks)*engineapi.BlockTokens)
	if rest > 0 && e.o.Registry.Has(plan.tail) {
		n += rest
	}
	return n
}

// prefilled counts the work and stores the blocks.
func (e *Engine) prefilled(plan prefillPlan) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counters.PromptTokens += int64(plan.tokens)
	e.counters.CachedTokens += int64(plan.cached)
	e.counters.RecomputedTokens += int64(plan.recomputed)
	for _, hash := range plan.blocks {
		e.store(hash)
	}
	e.o.Registry.Add(plan.tail)
	e.changed()
}
