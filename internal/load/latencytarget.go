package load

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/caller"
)

// The users' targets at scale 1.
const (
	firstTokenTarget    = 1500 * time.Millisecond
	betweenTokensTarget = 34 * time.Millisecond
)

// latencyTarget is the bounds of an answer's latencies.
type latencyTarget struct {
	first   time.Duration // from the intended send time to the first token
	between time.Duration // between consecutive tokens
}

func newLatencyTarget(scale float64) latencyTarget {
	return latencyTarget{
		first:   time.Duration(float64(firstTokenTarget) * scale),
		between: time.Duration(float64(betweenTokensTarget) * scale),
	}
}

// met reports whether an answer is within the target: the time to its first token
// and the mean time between its tokens are within the bounds. Single gaps are
// counted by tally.
func (t latencyTarget) met(first time.Duration, o *caller.Outcome) bool {
	return first <= t.first && meanGap(o.Gaps) <= t.between
}

func meanGap(gaps []time.Duration) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	var sum time.Duration
	for _, g := range gaps {
		sum += g
	}
	return sum / time.Duration(len(gaps))
}
