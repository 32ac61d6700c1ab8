package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Snapshot is what a successor needs to carry a request on.
type Snapshot struct {
	Spec       Spec
	Attempt    uint32           // the newest number used
	MayHaveRun bool             // some dispatch is not proved to be not run
	Endpoint   fleet.EndpointID // engine that runs it, empty where none does
	Stream     string           // its stream there
	Generated  []string         // the answer so far; shares the answer's memory
}

// SafeToDuplicate reports whether two holders of the request could not run it
// twice: it is idempotent, or its one dispatch has been made and is only
// resumed.
func (s Snapshot) SafeToDuplicate() bool { return !s.Spec.NonIdempotent || s.MayHaveRun }
