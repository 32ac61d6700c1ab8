package follow

import "time"

// Pauses bound the pause after a failed call, which grows from First to Last.
type Pauses struct{ First, Last time.Duration }

const (
	// firstPause and lastPause are for a daemon on whose word others rely.
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// pausePerDaemon bounds the calls that fail at all daemons of a fleet that look
	// seldom, at some seventy a second.
	pausePerDaemon = 15 * time.Millisecond
)

// Often returns the pauses of a daemon on whose word others rely.
func Often() Pauses { return Pauses{First: firstPause, Last: lastPause} }

// Seldom returns the pauses of one daemon of a fleet that is told by others when
// the store is back. Failure: the store refuses all calls for some seconds, and
// every daemon calls it twice a second for each kind. Symptom: a fleet of 200
// makes a thousand calls a second that are billed and do nothing, and as many at
// the moment at which the store is back.
func Seldom(daemons int) Pauses {
	last := max(lastPause, time.Duration(daemons)*pausePerDaemon)
	return Pauses{First: last / 4, Last: last}
}
