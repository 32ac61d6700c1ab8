package roster

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Endpoint is one engine or one replica of a plain service.
type Endpoint struct {
	ID         fleet.EndpointID
	Service    string
	Address    string // host:port; may belong to another endpoint later
	DataCentre fleet.DataCentre
	Version    string // of its software
	Slots      int    // requests at once
	Draining   bool
	Spot       bool // of the reclaimable class
	// WarmUpEnd is when a started endpoint has its full speed.
	WarmUpEnd time.Time
	// StartedAt is when it started, zero where it isn't told: a later one under the
	// same ID has started again and holds and knows nothing of before.
	StartedAt time.Time
}

// RestartedAs reports whether another entry under the same ID is of a later start.
func (e *Endpoint) RestartedAs(other *Endpoint) bool {
	return !e.StartedAt.IsZero() && other.StartedAt.After(e.StartedAt)
}
