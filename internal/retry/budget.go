package retry

import "time"

// Config is the fleet's bound for one service.
type Config struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the sends beyond the first for each request of a window.
	Ratio float64
	// Slack is the sends that are always allowed in a window, fleet-wide.
	Slack float64
}

// margin is the part of the bound that is used: windows of this daemon and of
// who judges are cut at different times, and requests are counted when they
// are read, not when they were sent.
const margin = 0.8

// buckets is the number of parts of a window; the oldest part is let go as a
// whole, so one more than the window's parts is kept.
const buckets = 10

// Budget is one daemon's part for one service. It is not safe for concurrent use.
type Budget struct {
	config   Config
	daemons  int
	bucket   int64 // number of the newest bucket
	requests [buckets + 1]int
	retries  [buckets + 1]int
}

// New returns a budget for a daemon that is alone.
func New(config Config) *Budget { return &Budget{config: config, daemons: 1} }

// Daemons sets how many daemons share the bound.
func (b *Budget) Daemons(n int) { b.daemons = max(n, 1) }

// Request counts a caller's request.
func (b *Budget) Request(now time.Time) { b.requests[b.advance(now)]++ }

// Take asks for one send beyond the first.
func (b *Budget) Take(now time.Time) bool {
	if b.Left(now) < 1 {
		return false
	}
	b.retries[b.advance(now)]++
	return true
}

// Left returns how many sends beyond the first this daemon has now.
func (b *Budget) Left(now time.Time) float64 {
	current := b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		retries += b.retries[i]
		if i != (current+1)%len(b.requests) { // the oldest may be outside the window
			requests += b.requests[i]
		}
	}
	allowed := margin * (b.config.Ratio*float64(requests) + b.config.Slack/float64(b.daemons))
	return allowed - float64(retries)
}

// advance clears the buckets that time has passed over and returns the newest's index.
func (b *Budget) advance(now time.Time) int {
	width := int64(b.config.Window) / buckets
	bucket := now.UnixNano() / width
	if bucket-b.bucket > int64(len(b.requests)) {
		b.bucket = bucket - int64(len(b.requests))
	}
	for ; b.bucket < bucket; b.bucket++ {
		i := int((b.bucket + 1) % int64(len(b.requests)))
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(b.bucket % int64(len(b.requests)))
}
