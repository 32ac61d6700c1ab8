package admission

import "time"

// Config holds the bounds that are the same for every workspace.
type Config struct {
	// Default holds the limits of a workspace before SetLimits.
	Default Limits
	// MaxTokenWait is the longest wait for token debt to be paid off. A request
	// that would wait longer is refused, which bounds the debt.
	MaxTokenWait time.Duration
	// MaxQueueWait is the longest predicted wait of a request without a deadline.
	MaxQueueWait time.Duration
	// LeaseTime is how long a request keeps its slot without Extend.
	LeaseTime time.Duration
	// MaxQueued bounds the requests queued in one pool.
	MaxQueued int
	// MaxQueuedEach bounds the requests of one workspace queued in one pool.
	MaxQueuedEach int
	// PoolSlots bounds the requests of a pool in flight before SetCapacity.
	PoolSlots int
	// FirstEstimate is the estimated completion length, in tokens, of a
	// workspace and model without observations.
	FirstEstimate float64
	// PromptWork is the work of one prompt token, in generated tokens.
	PromptWork float64
	// SlotRate is the assumed work of a slot before any is measured, in
	// generated tokens a second.
	SlotRate float64
	// MaxRetryAfter bounds RetryAfter before jitter: a pool that has lost all
	// endpoints may get new ones long before its past rate predicts.
	MaxRetryAfter time.Duration
	// RetryJitter is the largest fraction of RetryAfter that is added at random.
	RetryJitter float64
}

// DefaultConfig returns bounds for a target of 1.5 s to the first token and
// 34 ms between tokens.
func DefaultConfig() Config {
	return Config{
		MaxTokenWait:  2 * time.Second,  // callers prefer an early refusal to a longer wait
		MaxQueueWait:  time.Second,      // of the 1.5 s, leaves 0.5 s for the prefill
		LeaseTime:     30 * time.Second, // renewed every few seconds; a leaked slot is free after half a minute
		MaxQueued:     4096,             // about 1 MB of queued requests
		MaxQueuedEach: 256,              // keeps the scan of one Offer below a microsecond
		PoolSlots:     64,               // the slots of a few engines, until they have reported
		FirstEstimate: 256,              // tokens; ten responses later the average has replaced it
		PromptWork:    1.0 / 272,        // 8,000 prompt tokens a second against 34 ms a generated token
		SlotRate:      1 / (34e-3),      // one token every 34 ms
		MaxRetryAfter: 30 * time.Second,
		RetryJitter:   0.2, // enough: only the bound on RetryAfter still gives many callers the same value
	}
}
