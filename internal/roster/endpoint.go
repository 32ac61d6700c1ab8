package roster

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Endpoint is one engine or one replica of a plain service.
type Endpoint struct {
	ID         fleet.EndpointID
	Service    string
	Address    string // host:port; may be reused by another endpoint later
	DataCentre fleet.DataCentre
	Version    string // of its software
	Slots      int    // concurrent requests
	Draining   bool
	Spot       bool // on a reclaimable instance
	// WarmUpEnd is when a started endpoint reaches its full speed.
	WarmUpEnd time.Time
	// StartedAt is zero if the registry doesn't give it. An endpoint with the same
	// ID and a later StartedAt has restarted and lost its earlier state.
	StartedAt time.Time
}

// RestartedAs reports whether other, an entry with the same ID, has a later start.
func (e *Endpoint) RestartedAs(other *Endpoint) bool {
	return !e.StartedAt.IsZero() && other.StartedAt.After(e.StartedAt)
}
