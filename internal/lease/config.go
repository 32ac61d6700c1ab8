package lease

import "time"

// Config holds a lease's times. All daemons should have the same; a state
// carries its holder's duration, so that a change of them stays safe.
type Config struct {
	// Duration is how long a lease lasts after the write that won it.
	Duration time.Duration
	// Margin is given up by the holder at the end of its lease and added by
	// who waits for it. It covers the difference in rate between two clocks
	// over Duration: 500 parts in a million are 10 ms in 20 s.
	Margin time.Duration
	// RenewInterval is the mean time between renewals, drawn from 0.8 to 1.2 of it.
	RenewInterval time.Duration
	// RetryDelay is the mean time before a call is repeated that failed.
	RetryDelay time.Duration
	// CallTimeout is how long a call is waited for before it counts as lost.
	CallTimeout time.Duration
	// OrderTimeout is the longest that an order may be under way. Who gives
	// orders must end each by Lease.Deadline.
	OrderTimeout time.Duration
	// Candidates is how many daemons, best ranks first, observe a shard that
	// another one holds.
	Candidates int
	// ObserveInterval is the mean time between a candidate's looks at its shards.
	ObserveInterval time.Duration
	// SweepInterval is the mean time between looks of all other daemons, for the case
	// that no candidate reaches the store.
	SweepInterval time.Duration
	// RankDelay is how much longer each further rank waits before it takes a
	// lease. It exceeds Observe, so that a better rank looks first.
	RankDelay time.Duration
	// HandoverDelay is how long a holder that isn't the preferred one keeps a lease
	// before it hands it over: long enough for a restarted fleet to gather.
	HandoverDelay time.Duration
	// StartSpread is the time over which daemons that start together look for
	// the first time.
	StartSpread time.Duration
	// ListThreshold is the number of shards above which one list of all shards
	// takes the place of a read for each.
	ListThreshold int
}

// DefaultConfig leaves a crashed holder's shard without one for about half a
// minute: Observe until the last renewal was seen, then Duration and Margin.
var DefaultConfig = Config{
	Duration:     20 * time.Second,
	Margin:       time.Second,
	RenewInterval:        6 * time.Second,
	RetryDelay:        500 * time.Millisecond,
	CallTimeout:  3 * time.Second,
	OrderTimeout: 5 * time.Second,
	Candidates:   3,
	ObserveInterval:      6 * time.Second,
	SweepInterval:        5 * time.Minute,
	RankDelay:    8 * time.Second,
	HandoverDelay:       time.Minute,
	StartSpread:  5 * time.Second,
	ListThreshold:     4,
}
