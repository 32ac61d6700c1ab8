package retry

import "time"

// Config is the fleet-wide bound for one service.
type Config struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed per request in a window.
	Ratio float64
	// Slack is the number of retries allowed in a window besides, shared by
	// all daemons.
	Slack float64
}

// margin is the fraction of the bound that is used. The rest covers two
// differences from an observer's count: its windows begin at other times, and
// it counts requests when they are sent, a Budget when they are read.
const margin = 0.8

// buckets is the number of equal parts of a window. A Budget keeps one bucket
// more, because it drops only whole buckets and the oldest may still overlap
// the window.
const buckets = 10

// Budget is one daemon's part of the bound for one service. It is not safe for
// concurrent use.
type Budget struct {
	config   Config
	daemons  int
	bucket   int64 // newest bucket, numbered from the Unix epoch
	requests [buckets + 1]int
	retries  [buckets + 1]int
	counts   Counts
}

// Counts is what a Budget was asked for since its creation.
type Counts struct {
	Requests uint64
	Retries  uint64 // that were allowed
	Refused  uint64
}

// Status is the state of a Budget at one time.
type Status struct {
	Counts
	Left    float64 // retries that may be sent now, see Budget.Left
	Daemons int     // that share the slack, 0 if unknown
}

// New returns a budget for a single daemon; Daemons changes their number.
func New(config Config) *Budget { return &Budget{config: config, daemons: 1} }

// Daemons sets how many daemons share the slack; 0 means that their number is unknown, and
// leaves this daemon none.
func (b *Budget) Daemons(n int) { b.daemons = n }

// Request counts a caller's request.
func (b *Budget) Request(now time.Time) {
	b.counts.Requests++
	b.requests[b.advance(now)]++
}

// Take counts one retry and returns true if the budget allows it.
func (b *Budget) Take(now time.Time) bool {
	if b.Left(now) < 1 {
		b.counts.Refused++
		return false
	}
	b.counts.Retries++
	b.retries[b.advance(now)]++
	return true
}

// Status returns the state at a time.
func (b *Budget) Status(now time.Time) Status {
	return Status{Counts: b.counts, Left: b.Left(now), Daemons: b.daemons}
}

// Left returns how many retries this daemon may send now. It is negative when
// the requests that allowed earlier retries have left the window.
func (b *Budget) Left(now time.Time) float64 {
	current := b.advance(now)
	requests, retries := 0, 0
	for i := range b.requests {
		retries += b.retries[i]
		if i != (current+1)%len(b.requests) { // the oldest may lie outside the window
			requests += b.requests[i]
		}
	}
	slack := 0.0
	if b.daemons > 0 {
		slack = b.config.Slack / float64(b.daemons)
	}
	return margin*(b.config.Ratio*float64(requests)+slack) - float64(retries)
}

// advance moves on to the bucket of now, clears those in between and returns
// its index.
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
