package route

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Service is a set of endpoints of one kind.
type Service struct {
	Name string
	// MaxConnections bounds an endpoint's connections from all daemons.
	MaxConnections int
	// Engine describes the service's model engines; nil for a plain service.
	Engine *Engine
	// Scaling bounds the orders for endpoints; nil where none may be given.
	Scaling *Scaling
}

// Engine describes a model engine.
type Engine struct {
	Slots       int // requests in a batch
	CacheTokens int // tokens of running requests and cached prompts
	// FetchSeconds is the time in which an engine fetches the memory of one
	// cached token from another; 0 where it can't.
	FetchSeconds float64
}

// Scaling says how many endpoints a service may have and what they cost.
type Scaling struct {
	Min, Max       int // in each data centre, of both classes together
	BootTime       time.Duration
	OnDemandPrices map[fleet.DataCentre]float64
}
