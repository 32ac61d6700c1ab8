package template

import "time"

// SyncConfig bounds the calls that a daemon makes to find newer templates.
type SyncConfig struct {
	// StartJitter is the range of the random delay before a daemon's first list.
	// Of daemons that start together, the few that list first serve the rest.
	StartJitter time.Duration
	// WatchGrace is how long a healthy watch may take to deliver a change that a
	// peer already has, before it is fetched from the peer.
	WatchGrace time.Duration
	// FetchJitter is the range of the random delay before a fetch, so that
	// daemons that learn of a newer version at the same time don't all fetch it
	// at once. The delay counts twice while the watch is healthy.
	FetchJitter time.Duration
	// MinBackoff and MaxBackoff are the first and the longest mean backoff for a
	// peer or the store that doesn't respond, or a peer that has nothing new.
	MinBackoff time.Duration
	MaxBackoff time.Duration
	// FleetListInterval is the mean time between two full lists by any daemon of the
	// fleet; lists find what the watch and the digests missed. The more daemons
	// there are, the less often each lists, so that the load on the store doesn't
	// depend on the fleet's size.
	FleetListInterval time.Duration
	// MinListInterval and MaxListInterval bound one daemon's mean time between lists.
	MinListInterval time.Duration
	MaxListInterval time.Duration
	// Timeout bounds the duration of a fetch or list.
	Timeout time.Duration
}

// DefaultSyncConfig meets the fleet's target of 15 s for a change to be in
// force everywhere: a fetch starts within 4 s if the watch is healthy, else
// within 1 s.
var DefaultSyncConfig = SyncConfig{
	StartJitter:       5 * time.Second,
	WatchGrace:        2 * time.Second,
	FetchJitter:       time.Second,
	MinBackoff:        time.Second,
	MaxBackoff:        2 * time.Minute,
	FleetListInterval: time.Minute,
	MinListInterval:   5 * time.Minute,
	MaxListInterval:   12 * time.Hour,
	Timeout:           5 * time.Second,
}
