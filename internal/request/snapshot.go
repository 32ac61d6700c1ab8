package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Snapshot is the state that a successor needs to continue a request.
type Snapshot struct {
	Spec       Spec
	Attempt    uint32           // the newest one
	MayHaveRun bool             // there is no proof that no dispatch ran
	Endpoint   fleet.EndpointID // the engine that runs it, or empty
	Stream     string           // the engine's stream id
	Generated  []string         // tokens of the answer so far; shares the answer's memory
}

// SafeToDuplicate reports whether two daemons may hold the request: it is
// idempotent, or its only dispatch has been made and can only be resumed.
func (s Snapshot) SafeToDuplicate() bool { return !s.Spec.NonIdempotent || s.MayHaveRun }
