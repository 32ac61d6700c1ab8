package capacity

import "time"

// Config holds what the planner assumes about the market and the machines.
type Config struct {
	Classes []Class
	// Headroom is kept over the demand, as a fraction of it.
	Headroom float64
	// Reserve is the part of the largest data centre after whose loss the
	// demand must still be carried.
	Reserve float64
	// StartTime is from a launch until the engine serves, weights loaded.
	StartTime time.Duration
	// RetryTime is kept before a closing, beside StartTime, for refused starts.
	RetryTime time.Duration
	// Patience is how long the demand may be uncarried, starting instances
	// counted, before on-demand ones are bought.
	Patience time.Duration
	// StuckTime is how long after its launch an instance may be unready.
	StuckTime time.Duration
	// ListLag is how long the cloud's list may lack a new instance.
	ListLag time.Duration
	// KeepFor is how long a surplus must last before it is given back.
	KeepFor time.Duration
	// SwitchGain is how much dearer, as a fraction of the cheapest mix, what is
	// owned must be before it is exchanged.
	SwitchGain float64
	// MaxLaunches bounds the launches of one plan.
	MaxLaunches int
	// MinBackoff and MaxBackoff bound the wait after refused starts of a kind.
	MinBackoff time.Duration
	MaxBackoff time.Duration
}

// DefaultConfig returns bounds for engines that load weights for minutes.
func DefaultConfig(classes []Class) Config {
	return Config{
		Classes:     classes,
		Headroom:    0.15,             // for the spread of arrivals about the forecast
		Reserve:     1,                // a wave can take a whole data centre
		StartTime:   4 * time.Minute,  // boot and a rate-limited load of weights
		RetryTime:   10 * time.Minute, // several choices, each refused and backed off from
		Patience:    time.Minute,      // one round of other choices
		StuckTime:   20 * time.Minute, // five starts
		ListLag:     time.Minute,
		KeepFor:     5 * time.Minute, // 15 minutes cost 7% more in the measured trace and carried no more
		SwitchGain:  0.3,             // StartTime and KeepFor at double cost are earned back in half an hour
		MaxLaunches: 32,
		MinBackoff:  15 * time.Second,
		MaxBackoff:  5 * time.Minute,
	}
}

// Class is a machine class.
type Class struct {
	Name string
	// Rate is the work that one instance does within the latency target, in
	// generated tokens a second.
	Rate float64
}
