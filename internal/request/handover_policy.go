package request

import "time"

// HandoverPolicy bounds a Handover.
type HandoverPolicy struct {
	InFlight int           // offers that wait for an answer at once
	Repeat   time.Duration // between copies of an offer or withdrawal
	Patience time.Duration // without an answer, before a higher number is used
	Pause    time.Duration // before a refused request is offered again
	Short    time.Duration // requests with less remaining are left to finish
	Urgent   time.Duration // before the end, when short ones go as well
	Withdraw int           // copies of a withdrawal at most
}

// DefaultHandoverPolicy suits daemons a few milliseconds apart and notices of
// 30 s or more.
func DefaultHandoverPolicy() HandoverPolicy {
	return HandoverPolicy{
		InFlight: 64,                     // some MB of snapshots at once
		Repeat:   250 * time.Millisecond, // a hundred round trips
		Patience: 2 * time.Second,        // eight copies; a member that is silent for longer is suspected anyway
		Pause:    time.Second,            // until membership may have changed
		Short:    3 * time.Second,        // a hand-over disturbs its caller more than waiting
		Urgent:   5 * time.Second,        // two rounds of patience
		Withdraw: 40,                     // ten seconds; the directory tells later ones
	}
}
