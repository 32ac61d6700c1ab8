package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// workspace holds the state of one workspace on this daemon.
type workspace struct {
	id            fleet.WorkspaceID
	limits        Limits
	weight        float64
	slots         int // this daemon's share of Concurrency
	running       int
	requests      bucket
	tokens        bucket
	queuedCost    float64 // estimated tokens of queued requests, not yet charged
	estimates     estimates
	flows         []*flow // one for each pool used
	offered       meter   // requests offered a second
	offeredTokens meter   // estimated tokens offered a second
}

// apply sets the limits to l, scaled by share.
func (w *workspace) apply(now time.Duration, l Limits, share float64) {
	w.limits = l
	w.slots = l.slots(share)
	burst := max(1, l.RequestBurst) // a smaller bucket could never admit a request
	w.requests.resize(now, share*l.RequestsPerSecond, max(1, share*burst))
	w.tokens.resize(now, share*l.TokensPerSecond, share*l.TokenBurst)
	w.setWeight(l.weight())
}

func (w *workspace) setWeight(weight float64) {
	for _, f := range w.flows {
		if f.active() {
			f.pool.activeWeight += weight - w.weight
		}
	}
	w.weight = weight
}

// tokenWait returns how long it takes to pay off the debt and to cover the
// queued requests.
func (w *workspace) tokenWait(now time.Duration) time.Duration {
	return w.tokens.wait(now, w.queuedCost)
}

// inDebt returns when the debt is paid off, and reports whether there is any.
func (w *workspace) inDebt(now time.Duration) (time.Duration, bool) {
	wait := w.tokens.wait(now, 0)
	return now + wait, wait > 0
}

// flow returns the workspace's flow in p and creates it if needed.
func (w *workspace) flow(p *pool) *flow {
	for _, f := range w.flows {
		if f.pool == p {
			return f
		}
	}
	f := newFlow(w, p)
	w.flows = append(w.flows, f)
	p.flows = append(p.flows, f)
	return f
}

// idle reports whether no request of the workspace is queued or running.
func (w *workspace) idle() bool {
	for _, f := range w.flows {
		if f.active() {
			return false
		}
	}
	return true
}
