package request

import "time"

// Defaults of RetryBudget.
const (
	// DefaultRetryShare lets a wave of failures add at most a tenth to the
	// endpoints' load.
	DefaultRetryShare = 0.1
	// DefaultMinRetries a second keep retries possible for a workspace that
	// has hardly any traffic.
	DefaultMinRetries = 3.0
	// retrySlots of one second each are remembered: long enough to smooth
	// bursts, short enough that yesterday's successes pay for nothing.
	retrySlots = 10
)

// RetryBudget limits retries to a share of the successes of the last ten
// seconds plus a small constant rate, so that retries can't multiply a wave of
// failures (as in Finagle's and gRPC's retry throttling). The zero value is not
// usable; make one with NewRetryBudget.
type RetryBudget struct {
	share      float64
	minRetries float64 // retries over the whole window
	slots      [retrySlots]retrySlot
	last       int64 // Unix second of the newest slot
	sum        retrySlot
}

type retrySlot struct{ successes, retries int64 }

var _ Budget = (*RetryBudget)(nil)

// NewRetryBudget allows share retries for each success and minPerSecond on top.
func NewRetryBudget(share, minPerSecond float64) *RetryBudget {
	return &RetryBudget{share: share, minRetries: minPerSecond * retrySlots}
}

// Success counts a request that got its whole answer.
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

// advance forgets the slots that have left the window. A clock that steps back
// counts into the newest slot.
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
