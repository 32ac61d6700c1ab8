package scorer

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Of two candidates that differ in one input, the better one must cost less.
func TestEachScorerLowersTheCostOfTheBetterCandidate(t *testing.T) {
	w := Weights{Recompute: 1, AgreedCached: 0.5, Wait: 1000, Load: 1000, Price: 1, DialFailure: 1000}
	base := Input{FirstToken: 0.1, Target: 1.5, Uncached: 1000, MaxTokens: 100, Utilisation: 0.2}
	tests := map[string]func(*Input){
		"recompute": func(in *Input) { in.Uncached = 500 },
		"agreed":    func(in *Input) { in.Agreed = true },
		"wait":      func(in *Input) { in.FirstToken = 0.05 },
		"load":      func(in *Input) { in.Utilisation = 0.1 },
		"price":     func(in *Input) { in.Saving = 0.3 },
	}
	for name, better := range tests {
		t.Run(name, func(t *testing.T) {
			in := base
			better(&in)
			assert.Assert(t, Cost(&w, &in) < Cost(&w, &base))
		})
	}
	failing := base
	failing.DialsFailing = true
	assert.Assert(t, Cost(&w, &failing) > Cost(&w, &base))
}

// All engines are late and full. A request would also be late at the one with the
// shorter queue, and recomputing its prompt there would lengthen all queues.
func TestOverloadDoesNotTradeQueuesForRecomputing(t *testing.T) {
	w := Weights{Recompute: 1, Wait: 1000, Load: 2000}
	warm := Input{FirstToken: 9, Target: 1.5, Uncached: 100, Utilisation: 3}
	cold := Input{FirstToken: 2, Target: 1.5, Uncached: 900, Utilisation: 1}
	assert.Assert(t, Cost(&w, &warm) < Cost(&w, &cold))
}

func TestPriceCountsOnlyWhileThereIsRoom(t *testing.T) {
	w := Weights{Price: 1}
	in := Input{Saving: 0.5, MaxTokens: 100, Utilisation: 0.5}
	assert.Equal(t, Cost(&w, &in), 0.0)
}
