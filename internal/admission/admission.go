package admission

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Admission decides on one daemon which requests start, are queued or are refused.
type Admission struct {
	cfg        Config
	rng        *rand.Rand
	epoch      time.Time     // time of the first call; all internal times are relative to it
	latest     time.Duration // latest time passed in
	workspaces map[fleet.WorkspaceID]*workspace
	pools      map[Pool]*pool
	poolList   []*pool // in order of creation, for a deterministic order of iteration
	requests   map[fleet.RequestID]*requestState
	free       []*requestState // for reuse
	leases     leases
	throttled  heap[*flow]     // by readyAt
	seq        uint64          // of the latest request
	nextCheck  time.Duration   // when Tick next checks the queued requests
	actions    []Action        // result of the latest Tick
	scratch    []*requestState // buffer of checkFlow
}

// New returns an Admission without workspaces or pools; they are created on first use.
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

// SetLimits sets a workspace's limits, of which this daemon applies the given
// share, in [0,1]. Tokens already spent stay spent.
func (a *Admission) SetLimits(now time.Time, id fleet.WorkspaceID, l Limits, share float64) {
	t := a.elapsed(now)
	w := a.workspace(t, id)
	w.apply(t, l, share)
	for _, f := range w.flows {
		a.makeReady(f)
	}
}

// Forget removes a workspace if none of its requests is queued or running, and
// reports whether it did.
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
// its share of the slots reported by the pool's endpoints.
func (a *Admission) SetCapacity(p Pool, slots int) {
	pool := a.pool(p)
	if slots < pool.slots {
		a.nextCheck = 0 // queued requests may now miss their deadlines: check them in the next Tick
	}
	pool.slots = slots
}

// Extend renews a running request's lease. It reports false if the request
// holds no lease; it must then be offered again before it continues.
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

// elapsed converts now to the time since the first call; it never decreases.
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

// makeReady makes a throttled or blocked flow ready; the next Tick checks
// whether it may start a request.
func (a *Admission) makeReady(f *flow) {
	switch f.state {
	case flowThrottled:
		a.throttled.remove(f.index)
		f.pool.pushReady(f)
	case flowBlocked:
		f.pool.pushReady(f)
	}
}
