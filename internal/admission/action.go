package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Action is the final decision on a queued request.
type Action struct {
	Request    fleet.RequestID
	Start      bool          // the request holds a lease and may be dispatched; if false, it is refused
	Reason     Reason        // of the refusal
	RetryAfter time.Duration // of the refusal, with jitter
}
