package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// workspace is the state of one workspace on this daemon.
type workspace struct {
	id            fleet.WorkspaceID
	limits        Limits
	weight        float64
	slots         int // this daemon's share of Concurrency
	running       int
	requests      bucket
	tokens        bucket
	queuedCost    float64 // estimated tokens of what waits, not yet charged
	estimates     estimates
	flows         []*flow // one for each pool that it has used
	offered       meter   // requests offered a second
	offeredTokens meter   // estimated tokens offered a second
}

// apply changes the limits to l times share.
func (w *workspace) apply(now time.Duration, l Limits, share float64) {
	w.limits = l
	w.slots = l.slots(share)
	burst := max(1, l.RequestBurst) // a smaller bucket could never pay for one request
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

// tokenWait returns how long until the debt, with what waits already, is paid.
func (w *workspace) tokenWait(now time.Duration) time.Duration {
	return w.tokens.wait(now, w.queuedCost)
}

// inDebt reports whether nothing may start yet, and until when.
func (w *workspace) inDebt(now time.Duration) (time.Duration, bool) {
	wait := w.tokens.wait(now, 0)
	return now + wait, wait > 0
}

// flow returns the workspace's queue in p.
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

// idle reports whether nothing of the workspace waits or runs.
func (w *workspace) idle() bool {
	for _, f := range w.flows {
		if f.active() {
			return false
		}
	}
	return true
}
