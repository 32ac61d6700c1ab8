package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// PoolState is a snapshot of a pool, for metrics and for setting its capacity.
type PoolState struct {
	Slots      int
	Running    int
	Queued     int
	QueuedWork float64 // generated tokens
	SlotRate   float64 // generated tokens a second, per slot
}

// PoolState returns a snapshot of a pool. A pool that does not exist is created.
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

// Demand is the load that a workspace offers to this daemon, refused requests
// included.
type Demand struct {
	Requests float64 // a second
	Tokens   float64 // a second, estimated
	Running  int
}

// Demand returns a workspace's demand, to be reported to its other daemons. It
// is zero for an unknown workspace.
func (a *Admission) Demand(now time.Time, id fleet.WorkspaceID) Demand {
	w, ok := a.workspaces[id]
	if !ok {
		return Demand{}
	}
	t := a.elapsed(now)
	return Demand{Requests: w.offered.rate(t), Tokens: w.offeredTokens.rate(t), Running: w.running}
}
