package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// PoolState is what a pool looks like now, for metrics and for capacity.
type PoolState struct {
	Slots      int
	Running    int
	Queued     int
	QueuedWork float64 // generated tokens
	SlotRate   float64 // generated tokens a second and slot
}

// PoolState returns the state of a pool.
func (a *Admission) PoolState(name Pool) PoolState {
	p := a.pool(name)
	return PoolState{
		Slots:      p.slots,
		Running:    p.running,
		Queued:     p.queued,
		QueuedWork: p.queuedWork,
		SlotRate:   p.slotRate(),
	}
}

// Demand is what was offered by a workspace here, refused requests included.
type Demand struct {
	Requests float64 // a second
	Tokens   float64 // a second, estimated
	Running  int
}

// Demand returns a workspace's demand, to be told to its other daemons.
func (a *Admission) Demand(now time.Time, id fleet.WorkspaceID) Demand {
	w, ok := a.workspaces[id]
	if !ok {
		return Demand{}
	}
	t := a.elapsed(now)
	return Demand{Requests: w.offered.rate(t), Tokens: w.offeredTokens.rate(t), Running: w.running}
}
