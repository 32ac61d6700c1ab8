package template

import "time"

// SpreadConfig bounds how a daemon spends calls on catching up.
type SpreadConfig struct {
	// StartSpread is the time over which daemons that start together make
	// their first list. The first few that have one serve the rest.
	StartSpread time.Duration
	// WatchGrace is how long a healthy watch may take to bring what a peer
	// already has, before the peer is asked for it.
	WatchGrace time.Duration
	// FetchSpread is the time over which daemons that hear of a newer version
	// at once ask for it, while the watch is down.
	FetchSpread time.Duration
	// RetryFirst and RetryMost bound the back-off of a peer or the store that
	// doesn't answer or has nothing to give.
	RetryFirst time.Duration
	RetryMost  time.Duration
	// FleetList is the mean time between two full lists in the whole fleet,
	// which find what watch and digests missed. Each daemon lists less often
	// the more daemons there are, so the store sees one rate at any size.
	FleetList time.Duration
	// ListLeast and ListMost bound one daemon's time between lists.
	ListLeast time.Duration
	ListMost  time.Duration
	// Timeout is the longest that a fetch or list is waited for.
	Timeout time.Duration
}

// DefaultSpread holds the bounds for the fleet's target of 15 s: with the
// watch healthy a fetch follows after 4 s at the most, with it down after 1 s.
var DefaultSpread = SpreadConfig{
	StartSpread: 5 * time.Second,
	WatchGrace:  2 * time.Second,
	FetchSpread: time.Second,
	RetryFirst:  time.Second,
	RetryMost:   2 * time.Minute,
	FleetList:   time.Minute,
	ListLeast:   5 * time.Minute,
	ListMost:    12 * time.Hour,
	Timeout:     5 * time.Second,
}
