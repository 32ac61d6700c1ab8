package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Action tells the caller what became of a queued request.
type Action struct {
	Request    fleet.RequestID
	Start      bool          // it holds a lease now; otherwise it is refused
	Reason     Reason        // of a refusal
	RetryAfter time.Duration // of a refusal
}
