package request

import "time"

// Defaults for NewRetryBudget.
const (
	// DefaultRetryShare limits the load that retries add to a tenth.
	DefaultRetryShare = 0.1
	// DefaultMinRetries is in retries a second. It allows retries for a workspace
	// with hardly any traffic.
	DefaultMinRetries = 3.0
	// retrySlots is the length of the window in seconds: long enough to smooth
	// bursts, short enough that old successes allow no retries.
	retrySlots = 10
)

// RetryBudget limits retries to a share of the successes of the last ten seconds
// plus a small constant rate, so that retries don't amplify an outage (as in
// Finagle's and gRPC's retry throttling). The zero value is not usable;
// NewRetryBudget creates one.
type RetryBudget struct {
	share      float64
	minRetries float64 // retries over the whole window
	slots      [retrySlots]retrySlot
	last       int64 // Unix second of the newest slot
	sum        retrySlot
}

type retrySlot struct{ successes, retries int64 }

var _ Budget = (*RetryBudget)(nil)

// NewRetryBudget returns a budget of share retries for each success, plus
// minPerSecond.
func NewRetryBudget(share, minPerSecond float64) *RetryBudget {
	return &RetryBudget{share: share, minRetries: minPerSecond * retrySlots}
}

// Success counts a request whose answer was complete.
func (b *RetryBudget) Success(now time.Time) {
	b.advance(now)
	b.slot().successes++
	b.sum.successes++
}

// Take reports whether a retry may be made now and charges it.
func (b *RetryBudget) Take(now time.Time) bool {
	b.advance(now)
	allowed := b.minRetries + b.share*float64(b.sum.successes)
	if float64(b.sum.retries+1) > allowed {
		return false
	}
	b.slot().retries++
	b.sum.retries++
	return true
}

func (b *RetryBudget) slot() *retrySlot { return &b.slots[b.last%retrySlots] }

// advance removes the slots that are older than the window. If the clock is set
// back, events are counted in the newest slot.
func (b *RetryBudget) advance(now time.Time) {
	second := now.Unix()
	if second-b.last >= retrySlots {
		b.slots = [retrySlots]retrySlot{}
		b.sum = retrySlot{}
		b.last = second
		return
	}
	for b.last < second {
		b.last++
		s := b.slot()
		b.sum.successes -= s.successes
		b.sum.retries -= s.retries
		*s = retrySlot{}
	}
}
