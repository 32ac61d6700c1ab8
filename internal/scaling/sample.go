package scaling

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// Sample describes a service and its load at one moment.
type Sample struct {
	Service *route.Service
	// Serving is the number of endpoints that serve and aren't leaving, by place.
	Serving map[Place]int
	// Leaving is the number of endpoints under notice or draining, by place.
	Leaving map[Place]int
	// RateLimits are the rate limits of serving endpoints that have one, in requests a
	// second, and Requests the requests a second to all endpoints.
	RateLimits []float64
	Requests   float64
	// Slots is the number of batch slots that the requests since the last sample need
	// at endpoints that aren't overloaded; it doesn't grow when endpoints slow down.
	Slots float64
	// Prefill is the prompt tokens a second that endpoints have to process, without
	// those expected in their prefix caches.
	Prefill float64
	// Prompt is the prompt tokens a second in all, cached ones included.
	Prompt float64
	// PrefillCapacity is the prompt tokens that the usual endpoint can process in a
	// second; 0: unknown, so that only slots count as load.
	PrefillCapacity float64
	// MeanSpeed is the mean speed of the serving endpoints, compared to the usual one: 1
	// where they are alike; 0: unknown, which counts as 1.
	MeanSpeed float64
	// Seconds is the time since the last sample.
	Seconds float64
}

// Place is an endpoint class in a data centre.
type Place struct {
	DataCentre fleet.DataCentre
	Spot       bool // reclaimable; false: on-demand
}

// Order sets the number of endpoints at a place.
type Order struct {
	Place
	Count int
}
