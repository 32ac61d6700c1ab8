package scaling

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// Sample is a service at one moment.
type Sample struct {
	Service *route.Service
	// Here is the endpoints that serve and don't leave, by place.
	Here map[Place]int
	// Requests is the requests under way at all endpoints, waiting ones included.
	Requests int
	// Refused is the requests that were refused for want of room since the
	// last sample.
	Refused int
	// Seconds since the last sample.
	Seconds float64
}

// Place is a class of endpoints in a data centre.
type Place struct {
	DataCentre fleet.DataCentre
	Spot       bool // the reclaimable class
}

// Order is a wanted number of endpoints.
type Order struct {
	Place
	Count int
}
