package lease

import "time"

// Config holds a lease's times. All daemons should have the same ones; a stored
// state carries its holder's Duration and OrderTimeout, so that a change of them
// stays safe.
type Config struct {
	// Duration is how long a lease lasts after the write that acquired or
	// renewed it.
	Duration time.Duration
	// Margin is subtracted from Duration by the holder and added to it by a
	// daemon that waits for the lease to expire. It covers the difference in
	// rate between two clocks over Duration: 500 ppm are 10 ms in 20 s.
	Margin time.Duration
	// RenewInterval is the mean time between renewals; each is drawn from 0.8
	// to 1.2 of it.
	RenewInterval time.Duration
	// RetryDelay is the mean time before the first retry of a failed call. It
	// doubles with each further failure, up to RenewInterval.
	RetryDelay time.Duration
	// CallTimeout is how long to wait for an answer before a call counts as lost.
	CallTimeout time.Duration
	// OrderTimeout is the longest that an order may be in flight. The sender must
	// end each by Lease.Deadline.
	OrderTimeout time.Duration
	// Candidates is how many daemons, the best ranks, follow a shard that
	// another one holds.
	Candidates int
	// ObserveInterval is the mean time between a candidate's reads of its shards.
	ObserveInterval time.Duration
	// SweepInterval is the mean time between a daemon's lists of all shards,
	// for the case that no candidate of a shard reaches the store.
	SweepInterval time.Duration
	// RankDelay is how much longer each further rank waits before it acquires a
	// lease. It exceeds ObserveInterval, so that a better rank reads first.
	RankDelay time.Duration
	// HandoverDelay is how long a holder that isn't the preferred one keeps a
	// lease before it hands it over: long enough for all daemons of a restarted
	// fleet to join.
	HandoverDelay time.Duration
	// StartSpread is the time over which daemons that start together spread
	// their first reads.
	StartSpread time.Duration
	// ListThreshold is the number of shards to read above which one list of all
	// shards takes the place of a read for each.
	ListThreshold int
}

// DefaultConfig leaves the shard of a crashed holder without one for about half
// a minute: ObserveInterval until the last renewal is observed, then Duration and
// Margin.
var DefaultConfig = Config{
	Duration:        20 * time.Second,
	Margin:          time.Second,
	RenewInterval:   6 * time.Second,
	RetryDelay:      500 * time.Millisecond,
	CallTimeout:     3 * time.Second,
	OrderTimeout:    5 * time.Second,
	Candidates:      3,
	ObserveInterval: 6 * time.Second,
	SweepInterval:   5 * time.Minute,
	RankDelay:       8 * time.Second,
	HandoverDelay:   time.Minute,
	StartSpread:     5 * time.Second,
	ListThreshold:   4,
}
