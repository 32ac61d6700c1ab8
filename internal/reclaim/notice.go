package reclaim

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Notice announces that an endpoint leaves.
type Notice struct {
	Endpoint   fleet.EndpointID
	DataCentre fleet.DataCentre
	LeaveAt    time.Time
	// LinkRate is how much of the endpoint's network link this daemon's exports
	// may use, in bytes per second: a share if several daemons export from it.
	LinkRate float64
}
