package admission

import "time"

// bucket is a token bucket whose balance may be negative (debt). A rate of zero
// means no limit.
type bucket struct {
	rate    float64 // a second
	burst   float64
	balance float64
	last    time.Duration // of the latest refill
	retries retryBacklog  // callers refused by this bucket, in its unit
}

// refill adds the tokens accrued since the last call.
func (b *bucket) refill(now time.Duration) {
	if now > b.last {
		// The conversion keeps machines that fuse multiply and add from rounding differently.
		b.balance = min(b.burst, b.balance+float64(b.rate*(now-b.last).Seconds()))
		b.last = now
	}
}

// wait returns how long until the balance reaches need.
func (b *bucket) wait(now time.Duration, need float64) time.Duration {
	if b.rate <= 0 {
		return 0
	}
	b.refill(now)
	if b.balance >= need {
		return 0
	}
	return seconds((need - b.balance) / b.rate)
}

// take charges cost; a negative cost is a refund.
func (b *bucket) take(now time.Duration, cost float64) {
	if b.rate <= 0 {
		return
	}
	b.refill(now)
	b.balance = min(b.burst, b.balance-cost)
}

// resize changes rate and burst. A smaller burst scales a positive balance
// down; a larger one adds nothing, because other daemons may have spent those
// tokens before this daemon's share grew. Debt stays as it is.
func (b *bucket) resize(now time.Duration, rate, burst float64) {
	fresh := b.rate <= 0
	b.refill(now)
	switch {
	case fresh:
		b.balance = burst
		b.last = now
	case burst < b.burst && b.balance > 0:
		b.balance *= burst / b.burst
	}
	b.rate, b.burst = rate, burst
}
