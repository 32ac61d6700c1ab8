package admission

import "math"

// Limits bound one workspace across all daemons. A zero rate or count means no
// limit of that kind.
type Limits struct {
	RequestsPerSecond float64
	RequestBurst      float64 // requests that may arrive at once; below 1 is taken as 1
	TokensPerSecond   float64 // prompt and generated tokens
	TokenBurst        float64 // tokens that may be spent at once
	Concurrency       int     // running requests
	MaxTokens         int     // largest max_tokens of one request
	Weight            float64 // share under overload relative to other workspaces; 0 means 1
	Priority          int     // during the workspace's monthly closing, from its template; 0 to MaxPriority
}

// MaxPriority bounds the priority of a closing, so that no template can starve
// the other workspaces: the weight is multiplied by at most
// PriorityFactor^MaxPriority.
const MaxPriority = 3

// PriorityFactor multiplies a workspace's weight once for each level of priority.
const PriorityFactor = 2

// minSlots lets a workspace run requests on each of its daemons even if its
// concurrency is smaller than the number of daemons.
const minSlots = 1

// weight returns the workspace's weight in fair queueing, priority included.
func (l Limits) weight() float64 {
	w := l.Weight
	if w <= 0 {
		w = 1
	}
	steps := min(max(l.Priority, 0), MaxPriority)
	return w * math.Pow(PriorityFactor, float64(steps))
}

// slots returns how many requests may run at once on a daemon with this share.
// It rounds down, so the daemons' sum exceeds Concurrency only through minSlots.
func (l Limits) slots(share float64) int {
	if l.Concurrency <= 0 {
		return math.MaxInt
	}
	const roundingSlack = 1e-9 // 0.1 * 30 must give 3
	return max(minSlots, int(share*float64(l.Concurrency)+roundingSlack))
}
