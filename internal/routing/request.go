package routing

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Request describes a request to be routed. It is for a model when Service is
// empty, otherwise for a plain service.
type Request struct {
	ID           fleet.RequestID
	Workspace    fleet.WorkspaceID
	Model        fleet.ModelRef
	Service      string
	Blocks       []uint64 // chained hashes of the prompt's leading blocks, as in cache events
	PromptTokens int
	MaxTokens    int // bound on the answer's length
	Priority     int
	Deadline     time.Time          // zero means none
	Exclude      []fleet.EndpointID // endpoints already tried; few
	// Avoid is a data centre to use only when no other serves the request, such
	// as one whose instances are being reclaimed. Empty means none.
	Avoid fleet.DataCentre
}

func (q *Request) excludes(id fleet.EndpointID) bool {
	return len(q.Exclude) > 0 && slices.Contains(q.Exclude, id)
}
