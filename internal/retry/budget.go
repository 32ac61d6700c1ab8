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

// The parts of the bound that are used. What the predecessor of a process sent in the window
// is unknown, so that both parts may fall into one window. The rest covers the difference from
// an observer's count: requests are counted when they are read, not when they are sent.
const (
	completeShare   = 0.88 // by a process that knows what it sent in the whole window
	incompleteShare = 0.08 // by one that started too short a time ago
)

// buckets is the number of equal parts of a window. One bucket more is kept, because only
// whole buckets are dropped and the oldest may still overlap the window.
const buckets = 40

// budget is one daemon's part of the bound for one service.
type budget struct {
	shared *Budgets
	bucket int64 // newest bucket, numbered from the start of the history
	counts [buckets + 1]count
	totals Totals
}

// count is the requests and retries of a bucket.
type count struct{ requests, retries int }

// Totals is what a daemon was asked for a service since its start.
type Totals struct {
	Requests uint64
	Retries  uint64 // that were allowed
	Refused  uint64
}

// Status is the state of a service's budget at one time.
type Status struct {
	Totals
	// Left is how many retries may be sent now. It is negative when the requests that
	// allowed earlier retries have left the window.
	Left    float64
	Daemons int // that share the slack, 0 if unknown
	// Complete says that all that was sent in the window is known.
	Complete bool
}

// request counts a caller's request.
func (b *budget) request(now time.Time) {
	b.totals.Requests++
	b.counts[b.advance(now)].requests++
}

// take counts one retry and returns true if the budget allows it.
func (b *budget) take(now time.Time) bool {
	if b.left(now) < 1 {
		b.totals.Refused++
		return false
	}
	b.totals.Retries++
	b.counts[b.advance(now)].retries++
	return true
}

// left returns how many retries may be sent now, see Status.Left.
func (b *budget) left(now time.Time) float64 {
	current := b.advance(now)
	requests, retries := 0, 0
	for i, c := range b.counts {
		retries += c.retries
		if i != (current+1)%len(b.counts) { // the oldest may lie outside the window
			requests += c.requests
		}
	}
	return b.allowed(now, requests) - float64(retries)
}

// allowed returns how many retries are allowed in the window that ends now, with this
// number of requests.
func (b *budget) allowed(now time.Time, requests int) float64 {
	c, h := &b.shared.config, &b.shared.history
	slack := 0.0
	if b.shared.daemons > 0 {
		slack = c.Slack / float64(b.shared.daemons)
	}
	if h.complete(now, c.Window) {
		return completeShare * (c.Ratio*float64(requests) + slack)
	}
	elapsed := min(now.Sub(h.start).Seconds()/c.Window.Seconds(), 1)
	return incompleteShare * (c.Ratio*float64(requests) + slack*elapsed)
}

// status returns the state at a time.
func (b *budget) status(now time.Time) Status {
	return Status{
		Totals: b.totals, Left: b.left(now), Daemons: b.shared.daemons,
		Complete: b.shared.history.complete(now, b.shared.config.Window),
	}
}

// advance moves on to the bucket of now, clears those in between and returns
// its index.
func (b *budget) advance(now time.Time) int {
	width := b.shared.config.Window / buckets
	bucket := int64(now.Sub(b.shared.history.start) / width)
	if bucket-b.bucket > int64(len(b.counts)) {
		b.bucket = bucket - int64(len(b.counts))
	}
	for ; b.bucket < bucket; b.bucket++ {
		b.counts[(b.bucket+1)%int64(len(b.counts))] = count{}
	}
	return int(b.bucket % int64(len(b.counts)))
}
