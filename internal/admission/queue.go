package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

func (a *Admission) enqueue(r *requestState) {
	f := r.flow
	p := f.pool
	p.activate(f)
	f.queue.push(r)
	f.queuedWork += r.work
	f.workspace.queuedCost += r.cost
	p.queued++
	p.queuedWork += r.work
	if f.state == flowEmpty {
		p.pushReady(f)
	}
}

// dequeue removes r from its flow's queue, wherever it is in it.
func (a *Admission) dequeue(r *requestState) {
	f := r.flow
	p := f.pool
	f.queue.remove(r.index)
	f.queuedWork -= r.work
	f.workspace.queuedCost -= r.cost
	p.queued--
	p.queuedWork -= r.work
	if f.queue.len() > 0 {
		return
	}
	a.detach(f)
	p.deactivate(f)
	if p.queued == 0 {
		p.queuedWork = 0 // discards accumulated rounding errors
	}
	f.queuedWork = 0
}

// detach removes an empty flow from the heap it is in, if any.
func (a *Admission) detach(f *flow) {
	switch f.state {
	case flowReady:
		f.pool.removeReady(f, flowEmpty)
	case flowThrottled:
		a.throttled.remove(f.index)
	}
	f.state = flowEmpty
}

// start gives r a lease and charges its estimate.
func (a *Admission) start(now time.Duration, r *requestState) {
	f := r.flow
	w, p := f.workspace, f.pool
	p.activate(f)
	f.running++
	p.running++
	w.running++
	w.tokens.take(now, r.cost)
	p.advanceTags(now, f, r.work)
	r.running = true
	r.started = now
	a.leases.add(r, now+a.cfg.LeaseTime)
}

// releaseSlot removes the running request r: it ends the lease, frees the slot and
// makes the workspace's blocked flows ready.
func (a *Admission) releaseSlot(r *requestState) {
	f := r.flow
	a.leases.remove(r)
	f.running--
	f.pool.running--
	f.pool.deactivate(f)
	f.workspace.running--
	for _, o := range f.workspace.flows {
		if o.state == flowBlocked {
			a.makeReady(o)
		}
	}
	delete(a.requests, r.id)
}

// activate adds f's weight if f has no requests yet. It must be called before
// the first one is counted.
func (p *pool) activate(f *flow) {
	if !f.active() {
		p.activeWeight += f.workspace.weight
	}
}

// deactivate subtracts f's weight if f has no requests left.
func (p *pool) deactivate(f *flow) {
	if !f.active() {
		p.activeWeight -= f.workspace.weight
	}
}

func (p *pool) drop(f *flow) {
	for i, o := range p.flows {
		if o == f {
			p.flows = append(p.flows[:i], p.flows[i+1:]...)
			return
		}
	}
}

// Release ends a request. A running one is charged its actual usage; a queued
// one is removed from the queue. For any other request it reports false and
// changes nothing: a second release, or one after the lease expired, must not
// free another request's slot or correct the charge twice.
func (a *Admission) Release(now time.Time, id fleet.RequestID, u Usage) bool {
	r, ok := a.requests[id]
	if !ok {
		return false
	}
	t := a.elapsed(now)
	if !r.running {
		a.dequeue(r)
		delete(a.requests, id)
		a.recycle(r)
		return true
	}
	a.settle(t, r, u)
	a.releaseSlot(r)
	a.recycle(r)
	return true
}

// settle replaces r's estimated charge by its actual usage and updates the
// averages from which later estimates are made.
func (a *Admission) settle(now time.Duration, r *requestState, u Usage) {
	w := r.flow.workspace
	w.tokens.take(now, float64(u.PromptTokens+u.CompletionTokens)-r.cost)
	isService := r.model == (fleet.ModelRef{})
	if u.NotRun || !isService && u.CompletionTokens == 0 {
		return // its duration would distort the pool's averages
	}
	if !isService {
		w.estimates.observe(r.model, u.CompletionTokens)
	}
	work := a.work(r.model, float64(u.PromptTokens), float64(u.CompletionTokens))
	r.flow.pool.observe(work, now-r.started)
}
