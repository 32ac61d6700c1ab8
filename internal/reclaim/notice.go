package reclaim

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Notice says that an endpoint leaves.
type Notice struct {
	Endpoint   fleet.EndpointID
	DataCentre fleet.DataCentre
	LeaveAt    time.Time
	// LinkBytes is what this daemon's exports may use of the endpoint's link,
	// in bytes a second: its share where several daemons export from it.
	LinkBytes float64
}
