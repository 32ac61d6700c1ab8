package load

import "github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"

// engineTotal sums one engine's counters over the run.
type engineTotal struct {
	base engineapi.Counters // when the engine was first read
	last engineapi.Counters
	done engineapi.Counters // total of earlier engines at the same address
	// early is whether the engine was listed before the run. Its counts at the
	// first reading, even a late one, are then not part of the run.
	early bool
	read  bool // whether there was a reading
}

// see processes a reading. Counters that fell are those of a new engine at the
// old one's address; the old one's counts are kept in done.
func (t *engineTotal) see(c engineapi.Counters) {
	if t.early && !t.read {
		t.base, t.last = c, c
	}
	t.read = true
	if c.PromptTokens < t.last.PromptTokens || c.Executions < t.last.Executions {
		t.done = plus(t.done, minus(t.last, t.base))
		t.base = engineapi.Counters{}
	}
	t.last = c
}

// total returns the counts of the run.
func (t *engineTotal) total() engineapi.Counters { return plus(t.done, minus(t.last, t.base)) }

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
