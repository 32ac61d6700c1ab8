package placement

import "time"

// Config holds the planner's parameters.
type Config struct {
	// EngineRate is the throughput of one engine within the latency target, in
	// generated tokens a second.
	EngineRate float64
	// Headroom is the spare capacity of a model's replicas, as a share of its load.
	Headroom float64
	// WeightRate is the throughput of the weight store, in bytes a second.
	WeightRate float64
	// LoadTime is the time from an order until the replica serves, without the
	// transfer of its weights.
	LoadTime time.Duration
	// LeadTime is how long before Want.NeedBy a model may be loaded.
	LeadTime time.Duration
	// RetryAfter is how long an order may have no effect before it is repeated.
	RetryAfter time.Duration
	// LoadTimeout is how long a load may take before it counts as failed.
	LoadTimeout time.Duration
	// DrainDelay is how long it takes until routing stops sending requests to a
	// draining replica.
	DrainDelay time.Duration
	// AvoidFor is how long an engine isn't chosen again for a model whose load it
	// refused or didn't finish.
	AvoidFor time.Duration
	// KeepUnwanted is how long an unwanted model stays loaded while its room isn't
	// needed.
	KeepUnwanted time.Duration
}

// DefaultConfig returns the parameters for engines of rate tokens a second and a
// weight store of weightRate bytes a second.
func DefaultConfig(rate, weightRate float64) Config {
	return Config{
		EngineRate:   rate,
		Headroom:     0.3, // with one replica draining or lost, the others stay within the latency target
		WeightRate:   weightRate,
		LoadTime:     30 * time.Second,
		LeadTime:     30 * time.Minute, // before that, the room is of more use to other models
		RetryAfter:   10 * time.Second, // an engine reports the start of a load within seconds
		LoadTimeout:  10 * time.Minute, // twenty times LoadTime
		DrainDelay:   5 * time.Second,  // routing is informed within a few seconds
		AvoidFor:     time.Minute,
		KeepUnwanted: 15 * time.Minute, // a template change reverted within minutes needs no load
	}
}
