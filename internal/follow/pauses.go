package follow

import "time"

// Pauses are the bounds of the exponential backoff after failed calls, before jitter.
type Pauses struct{ First, Last time.Duration }

const (
	// The bounds for a daemon that others rely on for the state of the store.
	firstPause = 50 * time.Millisecond
	lastPause  = 400 * time.Millisecond
	// pausePerDaemon bounds the failed calls of a whole fleet to some seventy a second.
	pausePerDaemon = 15 * time.Millisecond
)

// Often returns the backoff of a daemon that others rely on for the state of the store.
func Often() Pauses { return Pauses{First: firstPause, Last: lastPause} }

// Seldom returns the backoff of a daemon that learns from others when the store is
// available again, in a fleet of so many daemons. It grows with the fleet: if every daemon
// called an unavailable store twice a second for each kind, a fleet of 200 would make a
// thousand calls a second that are billed and fail, and as many at the moment of the
// store's recovery.
func Seldom(daemons int) Pauses {
	last := max(lastPause, time.Duration(daemons)*pausePerDaemon)
	return Pauses{First: last / 4, Last: last}
}
