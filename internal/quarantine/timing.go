package quarantine

import "time"

// timing is how fast daemons learn from each other, which depends on the size of the fleet.
type timing struct {
	// reports is how long after a crash the suspects of all daemons are known: a report to a hub,
	// a relay to another hub, and a report to that one.
	reports time.Duration
	// evidence is how long after the first crash under a part the fleet knows of what has been
	// written on popular parts since: all learn of the crash, some write a response, and all learn
	// of that.
	evidence time.Duration
	// someEvidence is the same where such evidence has arrived about other parts.
	someEvidence time.Duration
}

const (
	// relayTime is the time for a relay between hubs, and for what a report waits for.
	relayTime = 150 * time.Millisecond
	// writeTime is the time until an endpoint has written a response for Settled.
	writeTime = 500 * time.Millisecond
)

// newTiming returns the timing of a fleet whose daemons report at an interval.
func newTiming(interval time.Duration) timing {
	all := 2*interval + relayTime
	return timing{reports: all, evidence: 2*all + writeTime, someEvidence: all + writeTime}
}
