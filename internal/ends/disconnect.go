package ends

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// Disconnect is an attempt whose connection was closed or reset by the endpoint
// before the answer was complete.
type Disconnect struct {
	Endpoint  fleet.EndpointID
	StartedAt time.Time // start of the endpoint, zero if unknown
	Address   string
	Request   quarantine.Identity
	Sent      time.Time
	// EndedAt is when the end of the connection was read: before any further attempt of the
	// request was sent.
	EndedAt time.Time
	// AnswerBegun is true if a piece of the answer was received, so the endpoint
	// had already been running the request for a while.
	AnswerBegun bool
}
