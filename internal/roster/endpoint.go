package roster

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Endpoint is one lifetime of an engine or of a replica of a plain service.
type Endpoint struct {
	ID         fleet.EndpointID
	Service    string
	Address    string // host:port; may belong to another endpoint later
	DataCentre fleet.DataCentre
	Slots      int // requests at once
	Draining   bool
	Spot       bool // of the reclaimable class
	// SlowUntil is when a started endpoint has its full speed.
	SlowUntil time.Time
}
