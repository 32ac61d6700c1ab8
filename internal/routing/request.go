package routing

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Request is what routing has to know about a request. It is for a model when
// Service is empty, otherwise for a plain service.
type Request struct {
	ID           fleet.RequestID
	Workspace    fleet.WorkspaceID
	Model        fleet.ModelRef
	Service      string
	Blocks       []uint64 // chained hashes of the prompt's leading blocks, as the engines name them
	PromptTokens int
	MaxTokens    int // bound of the answer
	Priority     int
	Deadline     time.Time          // zero is none
	Exclude      []fleet.EndpointID // already tried; short
	// Avoid names a data centre that is used only when no other serves the
	// request, such as the one that is being reclaimed. Empty is none.
	Avoid fleet.DataCentre
}

func (q *Request) excludes(id fleet.EndpointID) bool {
	return len(q.Exclude) > 0 && slices.Contains(q.Exclude, id)
}
