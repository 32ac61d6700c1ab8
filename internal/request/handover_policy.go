package request

import "time"

// HandoverPolicy sets the limits and intervals of a Handover.
type HandoverPolicy struct {
	MaxInFlight    int           // requests being prepared or offered at once
	ResendInterval time.Duration // between copies of an offer or a withdrawal
	ReplyTimeout   time.Duration // without a reply, until the request is offered to another successor
	RetryPause     time.Duration // before a request that all successors refused is offered again
	ShortRemaining time.Duration // requests with less time remaining are left to finish
	UrgentBefore   time.Duration // before the daemon's end, when short requests are handed over as well
	MaxWithdrawals int           // copies of a withdrawal
}

// DefaultHandoverPolicy suits daemons with a few milliseconds between them and a
// notice of 30 s or more before a shutdown.
func DefaultHandoverPolicy() HandoverPolicy {
	return HandoverPolicy{
		MaxInFlight:    64,                     // a few MB of snapshots
		ResendInterval: 250 * time.Millisecond, // about a hundred round trips
		ReplyTimeout:   2 * time.Second,        // eight copies; membership suspects a daemon that is unresponsive for longer
		RetryPause:     time.Second,            // enough for membership to change
		ShortRemaining: 3 * time.Second,        // a hand-over would disturb the caller more than the wait
		UrgentBefore:   5 * time.Second,        // two reply timeouts and some slack
		MaxWithdrawals: 40,                     // for ten seconds; after that daemons get the holder from the directory
	}
}
