package ends

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// Disconnect is an attempt whose connection was ended from the endpoint's side before
// its answer was whole.
type Disconnect struct {
	Endpoint  fleet.EndpointID
	StartedAt time.Time // of the endpoint, zero where that isn't told
	Address   string
	Request   quarantine.Key
	Sent      time.Time
	// AnswerBegun says that a piece of the answer had come: the endpoint had run it
	// for a while.
	AnswerBegun bool
}
