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
	// FirstPiece is when the first piece of the answer was received, zero if none was.
	FirstPiece time.Time
}

// settled reports whether the endpoint had written the answer for long enough that the request
// isn't suspected.
func (d *Disconnect) settled() bool {
	return !d.FirstPiece.IsZero() && d.EndedAt.Sub(d.FirstPiece) >= quarantine.Settled
}
