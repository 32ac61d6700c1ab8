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
	// LinkRate is what this daemon's exports may use of the endpoint's link,
	// in bytes a second: its share where several daemons export from it.
	LinkRate float64
}
