package placement

import "time"

// Config holds the planner's bounds.
type Config struct {
	// EngineRate is the work of one engine within the latency target, in
	// generated tokens a second.
	EngineRate float64
	// Headroom is the part of the load that replicas are kept for beyond it.
	Headroom float64
	// WeightRate is how fast the weight store gives out weights, in bytes a second.
	WeightRate float64
	// LoadTime is from an order until a replica serves, beside the transfer.
	LoadTime time.Duration
	// LeadTime is how long before it is needed a model may be loaded.
	LeadTime time.Duration
	// RetryAfter is how long an order may go without effect before it is given again.
	RetryAfter time.Duration
	// LoadTimeout is how long a load may take.
	LoadTimeout time.Duration
	// DrainDelay is how long routing needs to hear that a replica drains.
	DrainDelay time.Duration
	// AvoidFor is how long an engine that refused a load is passed over for it.
	AvoidFor time.Duration
	// KeepUnwanted is how long a model that nobody wants stays where room is not needed.
	KeepUnwanted time.Duration
}

// DefaultConfig returns bounds for an engine of rate tokens a second and a
// weight store of weightRate bytes a second.
func DefaultConfig(rate, weightRate float64) Config {
	return Config{
		EngineRate:   rate,
		Headroom:     0.3, // a replica that drains or is lost leaves the others within the target
		WeightRate:   weightRate,
		LoadTime:     30 * time.Second,
		LeadTime:     30 * time.Minute, // earlier, the room is of more use to others
		RetryAfter:   10 * time.Second, // an engine reports a load that it began within seconds
		LoadTimeout:  10 * time.Minute, // twenty loads
		DrainDelay:   5 * time.Second,  // a leaving endpoint gets no new work after a few seconds
		AvoidFor:     time.Minute,
		KeepUnwanted: 15 * time.Minute, // a template amended back within minutes costs no load
	}
}
