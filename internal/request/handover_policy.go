package request

import "time"

// HandoverPolicy bounds a Handover.
type HandoverPolicy struct {
	MaxInFlight    int           // offers that wait for an answer at once
	ResendInterval time.Duration // between copies of an offer or withdrawal
	ReplyTimeout   time.Duration // without an answer, before a higher number is used
	RetryPause     time.Duration // before a refused request is offered again
	ShortRemaining time.Duration // requests with less remaining are left to finish
	UrgentBefore   time.Duration // before the end, when short ones go as well
	MaxWithdrawals int           // copies of a withdrawal at most
}

// DefaultHandoverPolicy suits daemons a few milliseconds apart and notices of
// 30 s or more.
func DefaultHandoverPolicy() HandoverPolicy {
	return HandoverPolicy{
		MaxInFlight:    64,                     // some MB of snapshots at once
		ResendInterval: 250 * time.Millisecond, // a hundred round trips
		ReplyTimeout:   2 * time.Second,        // eight copies; a member that is silent for longer is suspected anyway
		RetryPause:     time.Second,            // until membership may have changed
		ShortRemaining: 3 * time.Second,        // a hand-over disturbs its caller more than waiting
		UrgentBefore:   5 * time.Second,        // two rounds of patience
		MaxWithdrawals: 40,                     // ten seconds; the directory tells later ones
	}
}
