package retry

import (
	"math"
	"time"
)

// Config is the fleet-wide bound for one service.
type Config struct {
	// Window is the length of the sliding window.
	Window time.Duration
	// Ratio is the number of retries allowed per request. The requests are those of the window,
	// of the one before it or of the one half a window before it, whichever has most.
	Ratio float64
	// Slack is the number of retries allowed in a window besides, shared by
	// all daemons.
	Slack float64
}

// The parts of the bound that are used. What the predecessor of a process sent in the window
// is unknown unless it left a record, so that both parts may fall into one window. The rest covers the difference from
// an observer's count: requests are counted when they are read, not when they are sent.
const (
	completeShare   = 0.86 // by a process that knows what was sent in the whole window
	incompleteShare = 0.08 // by one that started too short a time ago
)

// buckets is the number of equal parts of a window. One bucket more is kept, because only
// whole buckets are dropped and the oldest may still overlap the window.
const buckets = 40

// keptBuckets reach back to the window before a departure of a window ago.
const keptBuckets = 3 * buckets

// budget is one daemon's part of the bound for one service.
type budget struct {
	shared *Budgets
	bucket int64 // newest bucket, see Budgets.bucketOf
	counts [keptBuckets]Count
	totals Totals
}

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
	b.current(now).Requests++
}

// take counts one retry and returns true if the budget allows it.
func (b *budget) take(now time.Time) bool {
	if b.shared.closed || b.left(now) < 1 {
		b.totals.Refused++
		return false
	}
	b.totals.Retries++
	b.current(now).Retries++
	return true
}

// left returns how many retries may be sent now, see Status.Left.
func (b *budget) left(now time.Time) float64 {
	b.advance(now)
	retries := b.sum(b.bucket, buckets+1).Retries
	return b.allowed(now) + b.shared.offset - float64(retries)
}

// allowed returns how many retries are allowed in the window that ends now.
func (b *budget) allowed(now time.Time) float64 {
	c, h := &b.shared.config, &b.shared.history
	slack := 0.0
	if b.shared.daemons > 0 {
		slack = c.Slack / float64(b.shared.daemons)
	}
	requests := b.sum(b.bucket, buckets).Requests
	if !h.complete(now, c.Window) {
		elapsed := min(now.Sub(h.start).Seconds()/c.Window.Seconds(), 1)
		return incompleteShare * (c.Ratio*float64(requests) + slack*elapsed)
	}
	own := min(b.lasting(), b.beforeDepartures())
	return completeShare*(c.Ratio*float64(own)+slack) + incompleteShare*c.Ratio*float64(max(requests-own, 0))
}

// lasting returns how many requests each window counts that a retry sent now will be in, if
// no further ones arrive.
func (b *budget) lasting() int {
	least := math.MaxInt
	for ahead := 0; ahead <= buckets; ahead += buckets / 8 { // the window's end
		most := 0
		for _, back := range []int{0, buckets / 2, buckets} {
			missing := max(ahead-back, 0)
			most = max(most, b.sum(b.bucket-int64(max(back-ahead, 0)), buckets-missing).Requests)
		}
		least = min(least, most)
	}
	return least
}

// beforeDepartures returns the smallest number of requests in a window that ended before
// daemons departed within the last window.
func (b *budget) beforeDepartures() int {
	least := math.MaxInt
	lag := int64(settleTime / b.shared.bucketWidth())
	for _, at := range b.shared.departures {
		if at > b.bucket-buckets {
			least = min(least, b.sum(at-lag, buckets).Requests)
		}
	}
	return least
}

// sum returns the counts of n buckets up to a last one.
func (b *budget) sum(last int64, n int) (out Count) {
	for i := max(last-int64(n)+1, 0, b.bucket-keptBuckets+1); i <= last; i++ {
		c := &b.counts[i%keptBuckets]
		out.Requests += c.Requests
		out.Retries += c.Retries
	}
	return out
}

// status returns the state at a time.
func (b *budget) status(now time.Time) Status {
	return Status{
		Totals: b.totals, Left: b.left(now), Daemons: b.shared.daemons,
		Complete: b.shared.history.complete(now, b.shared.config.Window),
	}
}

// advance moves on to the bucket of now and clears those in between.
func (b *budget) advance(now time.Time) {
	bucket := b.shared.bucketOf(now)
	b.bucket = max(b.bucket, bucket-keptBuckets)
	for ; b.bucket < bucket; b.bucket++ {
		b.counts[(b.bucket+1)%keptBuckets] = Count{}
	}
}

// current returns the counts of the bucket of now.
func (b *budget) current(now time.Time) *Count {
	b.advance(now)
	return &b.counts[b.bucket%keptBuckets]
}
