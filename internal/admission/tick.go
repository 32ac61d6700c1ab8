package admission

import (
	"slices"
	"time"
)

// checkInterval is the time between two predictions of the waits of queued
// requests. At a quarter of a second the scan of a full queue takes less than
// 0.1% of a core, and callers are refused long before their deadlines.
const checkInterval = 250 * time.Millisecond

// Tick expires leases, starts queued requests that may start and refuses those
// that would now miss their deadlines. Call it after each batch of Release
// calls and at NextTick. The result is valid until the next call.
func (a *Admission) Tick(now time.Time) []Action {
	t := a.elapsed(now)
	a.actions = a.actions[:0]
	a.expire(t)
	a.resume(t)
	if t >= a.nextCheck {
		a.nextCheck = t + checkInterval
		for _, p := range a.poolList {
			a.check(t, p)
		}
	}
	for _, p := range a.poolList {
		a.dispatch(t, p)
	}
	return a.actions
}

// NextTick returns when Tick must be called if no other method is called before
// then, or the zero time if nothing is pending.
func (a *Admission) NextTick() time.Time {
	next := time.Duration(-1)
	earlier := func(t time.Duration) {
		if next < 0 || t < next {
			next = t
		}
	}
	if r := a.leases.first(); r != nil {
		earlier(r.expires)
	}
	if a.throttled.len() > 0 {
		earlier(a.throttled.top().readyAt)
	}
	for _, p := range a.poolList {
		if p.queued > 0 {
			earlier(a.nextCheck)
		}
		if p.ready.len() > 0 && p.running < p.slots {
			earlier(a.latest)
		}
	}
	if next < 0 {
		return time.Time{}
	}
	return a.epoch.Add(next)
}

// expire frees the slots of requests whose leases were not renewed. The
// estimate stays charged, because the tokens were most likely spent.
func (a *Admission) expire(now time.Duration) {
	for r := a.leases.first(); r != nil && r.expires <= now; r = a.leases.first() {
		a.releaseSlot(r)
		a.recycle(r)
	}
}

// resume makes throttled flows ready whose workspace has paid off its debt.
func (a *Admission) resume(now time.Duration) {
	for a.throttled.len() > 0 && a.throttled.top().readyAt <= now {
		a.makeReady(a.throttled.top())
	}
}

// dispatch starts requests while the pool has slots, in fair order.
func (a *Admission) dispatch(now time.Duration, p *pool) {
	for p.running < p.slots && p.ready.len() > 0 {
		f := p.ready.top()
		w := f.workspace
		if w.running >= w.slots {
			p.removeReady(f, flowBlocked)
			continue
		}
		if until, debt := w.inDebt(now); debt {
			p.removeReady(f, flowThrottled)
			f.readyAt = until
			a.throttled.push(f)
			continue
		}
		a.startNext(now, f)
	}
}

// startNext starts the first request of f's queue. It refuses one whose deadline
// has passed: the slot would be spent on a response that nobody waits for.
func (a *Admission) startNext(now time.Duration, f *flow) {
	r := f.queue.top()
	if r.deadline < now {
		a.shed(now, r, f.wait(now, f.queuedWork))
		return
	}
	a.dequeue(r)
	a.start(now, r)
	if f.state == flowReady {
		f.pool.ready.fix(f.index)
	}
	a.actions = append(a.actions, Action{Request: r.id, Start: true})
}

// check refuses requests queued in p that would now miss their deadlines,
// because capacity was lost or more urgent requests arrived.
func (a *Admission) check(now time.Duration, p *pool) {
	if p.queued == 0 {
		return
	}
	for _, f := range p.flows {
		if f.queue.len() > 0 {
			a.checkFlow(now, f)
		}
	}
}

func (a *Admission) checkFlow(now time.Duration, f *flow) {
	a.scratch = append(a.scratch[:0], f.queue.items...)
	slices.SortFunc(a.scratch, compareRequests)
	ahead := 0.0
	for _, r := range a.scratch {
		wait := f.wait(now, ahead)
		if now+wait > r.deadline {
			a.shed(now, r, wait)
			continue
		}
		ahead += r.work
	}
}

func compareRequests(a, b *requestState) int {
	if a.before(b) {
		return -1
	}
	return 1
}

// shed refuses a queued request and refunds its charge to the request rate.
func (a *Admission) shed(now time.Duration, r *requestState, wait time.Duration) {
	a.dequeue(r)
	f := r.flow
	f.workspace.requests.take(now, -1)
	d := a.refuse(Overload, wait+f.retries.add(now, f.rate(now), r.work))
	a.actions = append(a.actions, Action{Request: r.id, Reason: d.Reason, RetryAfter: d.RetryAfter})
	delete(a.requests, r.id)
	a.recycle(r)
}
