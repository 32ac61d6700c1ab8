package admission

import "math"

// Limits bound one workspace over all daemons together. A zero rate or count
// means no limit of that kind.
type Limits struct {
	RequestsPerSecond float64
	RequestBurst      float64 // requests that may come at once; at least 1 is used
	TokensPerSecond   float64 // prompt and generated tokens
	TokenBurst        float64 // tokens that may be spent at once
	Concurrency       int     // requests that run at once
	MaxTokens         int     // greatest max_tokens of one request
	Weight            float64 // share under overload relative to other workspaces; 0 is 1
	Priority          int     // closing-time priority from the template, 0 to MaxPriority
}

// MaxPriority bounds closing-time priority, so that no template can starve the
// other workspaces: it multiplies the weight by at most PriorityStep^MaxPriority.
const MaxPriority = 3

// PriorityFactor is the factor on a workspace's weight for each step of priority.
const PriorityFactor = 2

// minSlots keeps a workspace from being locked out of a daemon when its
// concurrency is smaller than the number of daemons that share it.
const minSlots = 1

// weight returns the workspace's share under overload.
func (l Limits) weight() float64 {
	w := l.Weight
	if w <= 0 {
		w = 1
	}
	steps := min(max(l.Priority, 0), MaxPriority)
	return w * math.Pow(PriorityFactor, float64(steps))
}

// slots returns how many requests may run at once with this share. Rounding is
// down, so the daemons' sum exceeds Concurrency only through minSlots.
func (l Limits) slots(share float64) int {
	if l.Concurrency <= 0 {
		return math.MaxInt
	}
	const roundingSlack = 1e-9 // 0.1 * 30 must give 3
	return max(minSlots, int(share*float64(l.Concurrency)+roundingSlack))
}
