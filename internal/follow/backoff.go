package follow

import "time"

// Backoff is the bounds of the exponential backoff after failed calls, before jitter.
type Backoff struct{ Min, Max time.Duration }

const (
	// The bounds for a daemon that others rely on for the state of the store.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// backoffPerDaemon bounds the failed calls of a whole fleet to some seventy a second.
	backoffPerDaemon = 15 * time.Millisecond
)

// FastBackoff returns the backoff of a daemon that others rely on for the state of the
// store.
func FastBackoff() Backoff { return Backoff{Min: minBackoff, Max: maxBackoff} }

// FleetBackoff returns the backoff of a daemon that learns from others when the store is
// available again, in a fleet of so many daemons. It grows with the fleet: if every daemon
// called an unavailable store twice a second for each kind, a fleet of 200 would make a
// thousand calls a second that are billed and fail, and as many at the moment of the
// store's recovery.
func FleetBackoff(daemons int) Backoff {
	most := max(maxBackoff, time.Duration(daemons)*backoffPerDaemon)
	return Backoff{Min: most / 4, Max: most}
}
