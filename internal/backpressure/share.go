package backpressure

import "math"

const (
	// minPerSecond is the rate at which a limit of 0 is still tried: its end shows
	// only in an answer.
	minPerSecond = 0.05
	// extraSenders is the number of daemons that send to an endpoint beside those that its
	// limit in requests a second suggests.
	extraSenders = 3.0
)

// Share is one daemon's part of an endpoint's rate limit: a token bucket of Burst
// requests that gains PerSecond. The zero value sends nothing.
type Share struct {
	PerSecond float64
	Burst     float64
	// Start is the requests that the bucket holds when the daemon begins to send.
	Start float64
}

// senders returns how many of the fleet's daemons send to an endpoint with a limit. With a
// share for each daemon, the first requests of all would exceed the limit of a large
// fleet, and each could send only after minutes.
func senders(perSecond float64, daemons int) int {
	return int(min(float64(daemons), math.Floor(perSecond)+extraSenders))
}

// ShareOf returns the share of the daemon with a rank, 0 for the first, among so many
// daemons. Only the first ones send. In any period, all together send at most what the
// limit allows in it, and perSecond + extraSenders more.
func ShareOf(perSecond float64, rank, daemons int) Share {
	perSecond = max(perSecond, minPerSecond)
	n := senders(perSecond, daemons)
	if rank >= n {
		return Share{}
	}
	return Share{
		PerSecond: perSecond / float64(n),
		Burst:     (perSecond + extraSenders) / float64(n),
		Start:     1 - (float64(rank)+0.5)/float64(n), // spreads the first requests evenly
	}
}

// rotation returns how many times other daemons have taken the place of those that send to
// an endpoint, where its limit was last stated some seconds ago: those that send may have
// no requests for it.
func rotation(perSecond, age float64) uint64 {
	period := rotationSeconds + extraSenders/max(perSecond, minPerSecond)
	return uint64(max(age, 0) / period)
}

// rotationSeconds is the least time without a statement after which other daemons send.
const rotationSeconds = 10.0
