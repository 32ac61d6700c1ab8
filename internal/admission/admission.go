package admission

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Admission decides which requests start, wait or are refused on one daemon.
type Admission struct {
	cfg        Config
	rng        *rand.Rand
	epoch      time.Time // of the first call; inside, time is counted from it
	latest     time.Duration
	workspaces map[fleet.WorkspaceID]*workspace
	pools      map[Pool]*pool
	poolList   []*pool // in order of creation, so that runs repeat
	requests   map[fleet.RequestID]*requestState
	free       []*requestState
	leases     leases
	throttled  heap[*flow]
	seq        uint64
	nextCheck  time.Duration
	actions    []Action
	scratch    []*requestState
}

// New returns an Admission without workspaces or pools; both come up on use.
func New(cfg Config, rng *rand.Rand) *Admission {
	a := &Admission{
		cfg:        cfg,
		rng:        rng,
		workspaces: make(map[fleet.WorkspaceID]*workspace),
		pools:      make(map[Pool]*pool),
		requests:   make(map[fleet.RequestID]*requestState),
	}
	a.leases.init()
	a.throttled.less = flowReadyBefore
	a.throttled.moved = setFlowIndex
	return a
}

// SetLimits puts limits in force for a workspace, of which this daemon has a
// share in [0,1]. Tokens already spent stay spent.
func (a *Admission) SetLimits(now time.Time, id fleet.WorkspaceID, l Limits, share float64) {
	t := a.elapsed(now)
	w := a.workspace(t, id)
	w.apply(t, l, share)
	for _, f := range w.flows {
		a.makeReady(f)
	}
}

// Forget drops a workspace of which nothing waits or runs. It reports whether it did.
func (a *Admission) Forget(id fleet.WorkspaceID) bool {
	w, ok := a.workspaces[id]
	if !ok || !w.idle() {
		return false
	}
	for _, f := range w.flows {
		f.pool.drop(f)
	}
	delete(a.workspaces, id)
	return true
}

// SetCapacity sets how many requests of a pool this daemon may have in flight:
// its share of the slots that the pool's endpoints report.
func (a *Admission) SetCapacity(p Pool, slots int) {
	pool := a.pool(p)
	if slots < pool.slots {
		a.nextCheck = 0 // what waits may no longer make its deadline: say so in the next Tick
	}
	pool.slots = slots
}

// Extend renews a running request's lease. It reports false when the lease is
// gone; the request must be offered anew before it takes more.
func (a *Admission) Extend(now time.Time, id fleet.RequestID) bool {
	r, ok := a.requests[id]
	if !ok || !r.running {
		return false
	}
	t := a.elapsed(now)
	a.leases.remove(r)
	a.leases.add(r, t+a.cfg.LeaseTime)
	return true
}

// elapsed turns now into time since the first call, never backwards.
func (a *Admission) elapsed(now time.Time) time.Duration {
	if a.epoch.IsZero() {
		a.epoch = now
	}
	a.latest = max(a.latest, now.Sub(a.epoch))
	return a.latest
}

func (a *Admission) workspace(now time.Duration, id fleet.WorkspaceID) *workspace {
	w, ok := a.workspaces[id]
	if !ok {
		w = &workspace{id: id, offered: meter{decay: demandDecay}, offeredTokens: meter{decay: demandDecay}}
		w.estimates.initial = a.cfg.FirstEstimate
		w.apply(now, a.cfg.Default, 1)
		a.workspaces[id] = w
	}
	return w
}

func (a *Admission) pool(name Pool) *pool {
	p, ok := a.pools[name]
	if !ok {
		p = newPool(name, &a.cfg)
		a.pools[name] = p
		a.poolList = append(a.poolList, p)
	}
	return p
}

// makeReady makes a flow that waited for its workspace ready; the next Tick
// finds out whether it may start.
func (a *Admission) makeReady(f *flow) {
	switch f.state {
	case flowThrottled:
		a.throttled.remove(f.index)
		f.pool.pushReady(f)
	case flowBlocked:
		f.pool.pushReady(f)
	}
}
