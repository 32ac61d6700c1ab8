package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// requestState is a queued or running request.
type requestState struct {
	id       fleet.RequestID
	flow     *flow
	model    fleet.ModelRef
	cost     float64 // estimated tokens, charged at the start
	work     float64 // estimated work, in generated tokens
	deadline time.Duration
	priority int
	seq      uint64 // order of arrival
	index    int    // in the flow's queue, or notInHeap

	running bool
	started time.Duration
	expires time.Duration
	prev    *requestState // neighbours in the list of leases
	next    *requestState
}

// before orders the queue of a flow: by priority, then deadline, then arrival.
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
