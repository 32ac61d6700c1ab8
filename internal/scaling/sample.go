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
	// Leaving is the endpoints that are announced to leave, by place.
	Leaving map[Place]int
	// Slots is the slots that the requests since the last sample hold of
	// endpoints that aren't overloaded.
	Slots float64
	// Read is the prompt tokens a second that endpoints had to read.
	Read float64
	// Prompt is the prompt tokens a second in all, with those that endpoints
	// hold already.
	Prompt float64
	// ReadRate is the prompt tokens that one endpoint reads in a second.
	ReadRate float64
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
