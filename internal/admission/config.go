package admission

import "time"

// Config holds the bounds that are the same for every workspace.
type Config struct {
	// Default are the limits of a workspace before SetLimits.
	Default Limits
	// MaxTokenWait is the longest wait for token debt. A request that would
	// wait longer is refused, which bounds the debt.
	MaxTokenWait time.Duration
	// MaxQueueWait is the longest predicted wait of a request without a deadline.
	MaxQueueWait time.Duration
	// LeaseTime is how long a slot stays taken without Extend.
	LeaseTime time.Duration
	// MaxQueued bounds the requests that wait in one pool.
	MaxQueued int
	// MaxQueuedEach bounds the requests of one workspace that wait in one pool.
	MaxQueuedEach int
	// PoolSlots is the bound on requests in flight of a pool before SetCapacity.
	PoolSlots int
	// FirstEstimate is the estimated completion of a workspace and model not
	// seen before, in tokens.
	FirstEstimate float64
	// PromptWork is the work of one prompt token relative to a generated one.
	PromptWork float64
	// SlotRate is the work a slot does in a second before it is measured:
	// generated tokens a second.
	SlotRate float64
	// MaxRetryAfter bounds RetryAfter, before jitter: a pool whose endpoints
	// are all gone may have new ones long before its old rate says so.
	MaxRetryAfter time.Duration
	// RetryJitter is the greatest fraction added to a RetryAfter at random.
	RetryJitter float64
}

// DefaultConfig returns bounds for the target of 1.5 s to the first token and
// 34 ms between tokens.
func DefaultConfig() Config {
	return Config{
		MaxTokenWait:  2 * time.Second,  // a caller prefers a clear refusal to a longer silence
		MaxQueueWait:  time.Second,      // leaves 0.5 s of the 1.5 s for the prefill
		LeaseTime:     30 * time.Second, // renewed every few seconds; a leaked slot is back in half a minute
		MaxQueued:     4096,             // about 1 MB of requests waiting
		MaxQueuedEach: 256,              // keeps the scan of one Offer below a microsecond
		PoolSlots:     64,               // a few engines' worth, until they have reported
		FirstEstimate: 256,              // tokens; the average takes over within ten answers
		PromptWork:    1.0 / 272,        // prefill of 8,000 tokens a second against 34 ms a token
		SlotRate:      1 / (34e-3),      // one token every 34 ms
		MaxRetryAfter: 30 * time.Second,
		RetryJitter:   0.2, // only the bound on RetryAfter still makes refused callers equal
	}
}
