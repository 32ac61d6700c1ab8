package capacity

import "time"

// Config holds the planner's assumptions about the market and the machines.
type Config struct {
	Classes []Class
	// Headroom is the spare capacity to keep, as a fraction of the demand.
	Headroom float64
	// Reserve is the fraction of the largest data centre's capacity whose loss
	// must leave enough for the demand.
	Reserve float64
	// StartTime is the time from a launch until the engine has loaded its weights
	// and serves.
	StartTime time.Duration
	// RetryTime is how much earlier than StartTime requires instances are bought
	// before a closing, to allow for refused launches.
	RetryTime time.Duration
	// Patience is how long the instances, starting ones included, may be too few
	// for the demand before on-demand ones are bought.
	Patience time.Duration
	// StuckTime is how long after its launch an instance may take to be ready.
	StuckTime time.Duration
	// ListLag is how long a new instance may be missing from the cloud's list.
	ListLag time.Duration
	// KeepFor is how long a surplus must last before it is given back.
	KeepFor time.Duration
	// SwitchGain is the extra cost of the serving instances, as a fraction of the
	// cheapest mix's cost, above which they are exchanged.
	SwitchGain float64
	// MaxLaunches bounds the launches of one plan.
	MaxLaunches int
	// MinBackoff and MaxBackoff bound the delay, before jitter, after refused
	// launches of a kind.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultConfig returns a configuration for engines that take minutes to load their
// weights.
func DefaultConfig(classes []Class) Config {
	return Config{
		Classes:     classes,
		Headroom:    0.15,             // arrivals vary around the forecast
		Reserve:     1,                // a reclaim wave can take a whole data centre
		StartTime:   4 * time.Minute,  // boot and a rate-limited load of weights
		RetryTime:   10 * time.Minute, // several kinds, each refused and backed off from
		Patience:    time.Minute,      // enough to try each other kind once
		StuckTime:   20 * time.Minute, // five times StartTime
		ListLag:     time.Minute,
		KeepFor:     5 * time.Minute, // 15 minutes cost 7% more in the simulated trace and served no more demand
		SwitchGain:  0.3,             // paying for both during StartTime and KeepFor is recovered in half an hour
		MaxLaunches: 32,
		MinBackoff:  15 * time.Second,
		MaxBackoff:  5 * time.Minute,
	}
}

// Class is a machine class.
type Class struct {
	Name string
	// Rate is the throughput of one instance within the latency target, in
	// generated tokens a second.
	Rate float64
}
