package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// requestState is one that waits or runs.
type requestState struct {
	id       fleet.RequestID
	flow     *flow
	model    fleet.ModelRef
	cost     float64 // estimated tokens, as charged
	work     float64 // estimated, in generated tokens
	deadline time.Duration
	priority int
	seq      uint64 // order of arrival
	index    int    // in the flow's queue

	running bool
	started time.Duration
	expires time.Duration
	prev    *requestState // in leases
	next    *requestState
}

// before orders a workspace's own queue: priority, then deadline, then arrival.
func (r *requestState) before(o *requestState) bool {
	if r.priority != o.priority {
		return r.priority > o.priority
	}
	if r.deadline != o.deadline {
		return r.deadline < o.deadline
	}
	return r.seq < o.seq
}

func setRequestIndex(r *requestState, index int) { r.index = index }
