package load

import "github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"

// engineTotal follows one engine's counters over the run.
type engineTotal struct {
	base engineapi.Counters // when the engine was first seen
	last engineapi.Counters
	done engineapi.Counters // of earlier lives at the same address
	// early: the engine was there before the run. What it had counted when it
	// was first read is not the run's, also where that reading came late.
	early bool
	read  bool
}

// see takes a reading. Counters that fell are those of a new engine at the old
// one's address; what the old one had counted is kept.
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

// total is what the engine counted since it was first seen.
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
