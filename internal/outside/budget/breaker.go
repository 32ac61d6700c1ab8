package budget

import (
	"math/rand/v2"
	"time"
)

const (
	// failuresToOpen is small, since each failure of a silent API costs its
	// caller a whole timeout, and above 1, since one lost connection is no outage.
	failuresToOpen = 5
	// firstOpen and longestOpen bound the time between probes. The longest is
	// what a daemon may need to notice the end of an outage; 340 daemons that
	// probe every 6 s on average are 57 calls a second.
	firstOpen   = 500 * time.Millisecond
	longestOpen = 8 * time.Second
	// probeExpires is when another probe is allowed though the first was never reported.
	probeExpires = 10 * time.Second
	// probePoll is when to check again while a probe is in progress.
	probePoll = 250 * time.Millisecond
)

type breakerState uint8

const (
	breakerClosed breakerState = iota
	breakerOpen
	breakerProbing // half open: one call is in progress
)

// breaker stops calls to an API that fails, except for single probes.
type breaker struct {
	state    breakerState
	failures int // in a row, while closed
	wait     Backoff
	until    time.Time // open: when a probe may go; probing: when it expires
}

func newBreaker() breaker {
	return breaker{wait: Backoff{First: firstOpen, Longest: longestOpen}}
}

// check reports whether a call may be made, or when to check again.
func (b *breaker) check(now time.Time) (time.Time, bool) {
	switch {
	case b.state == breakerClosed || !now.Before(b.until):
		return time.Time{}, true
	case b.state == breakerProbing:
		return earlier(now.Add(probePoll), b.until), false
	default:
		return b.until, false
	}
}

// sent records a call. With an open breaker it is the probe.
func (b *breaker) sent(now time.Time) {
	if b.state != breakerClosed {
		b.state = breakerProbing
		b.until = now.Add(probeExpires)
	}
}

// answered closes the breaker, and reports whether it was open.
func (b *breaker) answered() bool {
	was := b.state
	b.state, b.failures = breakerClosed, 0
	b.wait.Reset()
	return was != breakerClosed
}

// failed counts a failure and opens the breaker when there are enough.
func (b *breaker) failed(now time.Time, random *rand.Rand) {
	b.failures++
	if b.state == breakerOpen || b.state == breakerClosed && b.failures < failuresToOpen {
		return
	}
	b.state = breakerOpen
	b.until = now.Add(b.wait.Next(random))
}

// abandoned allows another probe, if the abandoned call may have been one.
func (b *breaker) abandoned(now time.Time) {
	if b.state == breakerProbing {
		b.state, b.until = breakerOpen, now
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
