package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Offer decides on a request. Offering one that is known already repeats the
// answer and takes nothing more. A refusal takes nothing and comes at once.
func (a *Admission) Offer(now time.Time, ask Ask) Decision {
	t := a.clock(now)
	if r, ok := a.requests[ask.Request]; ok {
		return a.known(t, r)
	}
	w := a.workspace(t, ask.Workspace)
	completion, cost := a.estimate(w, ask)
	w.asked.add(t, 1)
	w.askedCost.add(t, cost)
	if w.limits.MaxTokens > 0 && ask.MaxTokens > w.limits.MaxTokens {
		return Decision{Outcome: Refuse, Reason: TooLarge}
	}
	if wait := w.requests.wait(t, 1); wait > 0 {
		return a.refuse(RequestRate, wait+w.requests.booked.add(t, w.requests.rate, 1))
	}
	tokenWait := w.tokenWait(t)
	if tokenWait > a.cfg.MaxTokenWait {
		later := w.tokens.booked.add(t, w.tokens.rate, cost)
		return a.refuse(TokenRate, tokenWait-a.cfg.MaxTokenWait+later)
	}
	r := a.newRequest(t, ask, w.flow(a.pool(ask.Pool)))
	r.cost = cost
	r.work = a.work(ask.Model, float64(ask.PromptTokens), completion)
	d := a.place(t, r, tokenWait)
	if d.Outcome == Refuse {
		a.recycle(r)
		return d
	}
	w.requests.take(t, 1)
	a.requests[r.id] = r
	return d
}

// known answers a repeated Offer.
func (a *Admission) known(now time.Duration, r *request) Decision {
	if !r.running {
		return Decision{Outcome: Queue}
	}
	a.leases.remove(r)
	a.leases.add(r, now+a.cfg.LeaseTime)
	return Decision{Outcome: Admit}
}

// place starts r, queues it, or refuses it because of the pool or the
// workspace's concurrency.
func (a *Admission) place(now time.Duration, r *request, tokenWait time.Duration) Decision {
	f := r.flow
	p, w := f.pool, f.workspace
	if tokenWait == 0 && w.running < w.slots && p.running < p.slots && p.ready.len() == 0 && f.queue.len() == 0 {
		f.start = p.tag(f)
		a.start(now, r)
		return Decision{Outcome: Admit}
	}
	reason := waitReason(w, tokenWait)
	wait := max(tokenWait, f.wait(now, f.ahead(r)))
	if now+margin(wait) > r.deadline {
		return a.refuse(reason, wait+f.booked.add(now, f.rate(now), r.work))
	}
	if p.queued >= a.cfg.MaxQueued || f.queue.len() >= a.cfg.MaxQueuedEach {
		return a.refuse(QueueFull, wait+f.booked.add(now, f.rate(now), r.work))
	}
	a.enqueue(r)
	return Decision{Outcome: Queue, Reason: reason}
}

// waitMargin is what a predicted wait is multiplied by before a request may
// queue. Predictions are means, and a queue that holds a dozen requests spreads
// widely about them: without it more than half of the refusals at 130% load came
// only after the caller had waited most of its time. Figures are in
// docs/adr/0007-limits.md.
const waitMargin = 2.5

func margin(wait time.Duration) time.Duration {
	return time.Duration(waitMargin * float64(wait))
}

// waitReason names what a request waits for.
func waitReason(w *workspace, tokenWait time.Duration) Reason {
	switch {
	case tokenWait > 0:
		return TokenRate
	case w.running >= w.slots:
		return Concurrency
	default:
		return Overload
	}
}

// refuse adds jitter, for those whose RetryAfter the bound makes equal.
func (a *Admission) refuse(reason Reason, wait time.Duration) Decision {
	wait = min(wait, a.cfg.MaxRetryAfter)
	jitter := 1 + a.cfg.RetryJitter*a.rng.Float64()
	return Decision{Outcome: Refuse, Reason: reason, RetryAfter: time.Duration(float64(wait) * jitter)}
}

// estimate returns the expected completion and charge in tokens.
func (a *Admission) estimate(w *workspace, ask Ask) (completion, cost float64) {
	if ask.Model == (fleet.ModelRef{}) {
		return 0, 0
	}
	completion = w.estimates.completion(ask.Model, ask.MaxTokens)
	return completion, float64(ask.PromptTokens) + completion
}

// serviceWork is the work of a call to a plain service; any constant serves,
// since a pool of services holds nothing else.
const serviceWork = 1

// work converts tokens to work: what they cost a slot, in generated tokens.
func (a *Admission) work(m fleet.ModelRef, prompt, completion float64) float64 {
	if m == (fleet.ModelRef{}) {
		return serviceWork
	}
	return prompt*a.cfg.PromptWork + completion
}

func (a *Admission) newRequest(now time.Duration, ask Ask, f *flow) *request {
	r := a.allocate()
	a.seq++
	*r = request{id: ask.Request, flow: f, model: ask.Model, priority: ask.Priority, seq: a.seq, index: notInHeap}
	r.deadline = now + a.cfg.MaxQueueWait
	if !ask.Deadline.IsZero() {
		r.deadline = ask.Deadline.Sub(a.epoch)
	}
	return r
}

func (a *Admission) allocate() *request {
	n := len(a.free)
	if n == 0 {
		return new(request)
	}
	r := a.free[n-1]
	a.free = a.free[:n-1]
	return r
}

func (a *Admission) recycle(r *request) {
	*r = request{}
	a.free = append(a.free, r)
}
