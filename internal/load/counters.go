package load

import "github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"

// engineTotal sums one engine's counters over the run.
type engineTotal struct {
	base     engineapi.Counters // counts before the run, zero for an engine that appeared in it
	last     engineapi.Counters // the last reading
	replaced engineapi.Counters // total of earlier engines at the same address
	// preexisting is whether the engine was listed before the run. Its counts at the
	// first reading, even a late one, are then not part of the run.
	preexisting bool
	read        bool // whether there was a reading
}

// add processes a reading. Counters that fell are those of a new engine at the
// old one's address; the old one's counts are kept in
// replaced.
func (t *engineTotal) add(c engineapi.Counters) {
	if t.preexisting && !t.read {
		t.base, t.last = c, c
	}
	t.read = true
	if c.PromptTokens < t.last.PromptTokens || c.Executions < t.last.Executions {
		t.replaced = plus(t.replaced, minus(t.last, t.base))
		t.base = engineapi.Counters{}
	}
	t.last = c
}

// total returns the counts of the run.
func (t *engineTotal) total() engineapi.Counters { return plus(t.replaced, minus(t.last, t.base)) }

func plus(a, b engineapi.Counters) engineapi.Counters {
	return engineapi.Counters{
		PromptTokens:     a.PromptTokens + b.PromptTokens,
		CachedTokens:     a.CachedTokens + b.CachedTokens,
		RecomputedTokens: a.RecomputedTokens + b.RecomputedTokens,
		GeneratedTokens:  a.GeneratedTokens + b.GeneratedTokens,
		Executions:       a.Executions + b.Executions,
	}
}

func minus(a, b engineapi.Counters) engineapi.Counters {
	return engineapi.Counters{
		PromptTokens:     a.PromptTokens - b.PromptTokens,
		CachedTokens:     a.CachedTokens - b.CachedTokens,
		RecomputedTokens: a.RecomputedTokens - b.RecomputedTokens,
		GeneratedTokens:  a.GeneratedTokens - b.GeneratedTokens,
		Executions:       a.Executions - b.Executions,
	}
}
