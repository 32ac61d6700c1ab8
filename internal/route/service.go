package route

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Service is a group of endpoints that are replicas of each other.
type Service struct {
	Name string
	// MaxConnections limits the connections to an endpoint from all daemons
	// together.
	MaxConnections int
	// Engine describes the service's model engines; nil for a service without
	// models.
	Engine *Engine
	// Scaling limits the number of endpoints; nil if the service isn't scaled.
	Scaling *Scaling
}

// Engine describes a model engine.
type Engine struct {
	Slots       int // requests in a batch
	CacheTokens int // capacity for tokens of running requests and cached prompts
	// FetchSeconds is the time to fetch the KV cache of one token from another
	// engine; 0 if the engine can't.
	FetchSeconds float64
}

// Scaling says how many endpoints a service may have and what they cost.
type Scaling struct {
	Min, Max       int                          // in each data centre, reclaimable or not
	BootTime       time.Duration                // of an endpoint
	OnDemandPrices map[fleet.DataCentre]float64 // of an endpoint; the keys are the data centres to use
}
