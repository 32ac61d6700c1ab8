package admission

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Offer decides whether a request starts, is queued or is refused. It is
// idempotent: offering a queued or running request again charges nothing more.
// A refusal charges nothing.
func (a *Admission) Offer(now time.Time, req Request) Decision {
	t := a.elapsed(now)
	if r, ok := a.requests[req.ID]; ok {
		return a.repeatOffer(t, r)
	}
	w := a.workspace(t, req.Workspace)
	completion, cost := a.estimate(w, req)
	w.offered.add(t, 1)
	w.offeredTokens.add(t, cost)
	if w.limits.MaxTokens > 0 && req.MaxTokens > w.limits.MaxTokens {
		return Decision{Outcome: Refuse, Reason: TooLarge}
	}
	if wait := w.requests.wait(t, 1); wait > 0 {
		return a.refuse(RequestRate, wait+w.requests.retries.add(t, w.requests.rate, 1))
	}
	tokenWait := w.tokenWait(t)
	if tokenWait > a.cfg.MaxTokenWait {
		later := w.tokens.retries.add(t, w.tokens.rate, cost)
		return a.refuse(TokenRate, tokenWait-a.cfg.MaxTokenWait+later)
	}
	r := a.newRequest(t, req, w.flow(a.pool(req.Pool)))
	r.cost = cost
	r.work = a.work(req.Model, float64(req.PromptTokens), completion)
	d := a.startOrQueue(t, r, tokenWait)
	if d.Outcome == Refuse {
		a.recycle(r)
		return d
	}
	w.requests.take(t, 1)
	a.requests[r.id] = r
	return d
}

// repeatOffer decides on a request that is already queued or running. It renews
// the lease of a running one.
func (a *Admission) repeatOffer(now time.Duration, r *requestState) Decision {
	if !r.running {
		return Decision{Outcome: Queue}
	}
	a.leases.remove(r)
	a.leases.add(r, now+a.cfg.LeaseTime)
	return Decision{Outcome: Admit}
}

// startOrQueue starts r, queues it, or refuses it if it would miss its deadline
// or the queue is full.
func (a *Admission) startOrQueue(now time.Duration, r *requestState, tokenWait time.Duration) Decision {
	f := r.flow
	p, w := f.pool, f.workspace
	if tokenWait == 0 && w.running < w.slots && p.running < p.slots && p.ready.len() == 0 && f.queue.len() == 0 {
		f.startTag = p.startTag(f)
		a.start(now, r)
		return Decision{Outcome: Admit}
	}
	reason := waitReason(w, tokenWait)
	wait := max(tokenWait, f.wait(now, f.workAhead(r)))
	if now+withMargin(wait) > r.deadline {
		return a.refuse(reason, wait+f.retries.add(now, f.rate(now), r.work))
	}
	if p.queued >= a.cfg.MaxQueued || f.queue.len() >= a.cfg.MaxQueuedEach {
		return a.refuse(QueueFull, wait+f.retries.add(now, f.rate(now), r.work))
	}
	a.enqueue(r)
	return Decision{Outcome: Queue, Reason: reason}
}

// waitMargin multiplies the predicted wait before it is compared with the
// deadline. Predictions are means, and the actual waits in a queue of a dozen
// requests vary widely: without the margin, at 130% load, more than half of the
// refusals came only after the caller had waited most of its time. See
// docs/adr/0007-limits.md.
const waitMargin = 2.5

func withMargin(wait time.Duration) time.Duration {
	return time.Duration(waitMargin * float64(wait))
}

// waitReason returns the limit that a request waits for.
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

// refuse returns a refusal whose RetryAfter is wait, bounded by MaxRetryAfter.
// Jitter separates the callers that get the bound.
func (a *Admission) refuse(reason Reason, wait time.Duration) Decision {
	wait = min(wait, a.cfg.MaxRetryAfter)
	jitter := 1 + a.cfg.RetryJitter*a.rng.Float64()
	return Decision{Outcome: Refuse, Reason: reason, RetryAfter: time.Duration(float64(wait) * jitter)}
}

// estimate returns the expected completion and the charge, in tokens.
func (a *Admission) estimate(w *workspace, req Request) (completion, cost float64) {
	if req.Model == (fleet.ModelRef{}) {
		return 0, 0
	}
	completion = w.estimates.completion(req.Model, req.MaxTokens)
	return completion, float64(req.PromptTokens) + completion
}

// serviceWork is the work of a call to a plain service. Any positive constant
// would do, because all requests of such a pool have the same work.
const serviceWork = 1

// work converts tokens to work, measured in generated tokens.
func (a *Admission) work(m fleet.ModelRef, prompt, completion float64) float64 {
	if m == (fleet.ModelRef{}) {
		return serviceWork
	}
	return prompt*a.cfg.PromptWork + completion
}

func (a *Admission) newRequest(now time.Duration, req Request, f *flow) *requestState {
	r := a.allocate()
	a.seq++
	*r = requestState{id: req.ID, flow: f, model: req.Model, priority: req.Priority, seq: a.seq, index: notInHeap}
	r.deadline = now + a.cfg.MaxQueueWait
	if !req.Deadline.IsZero() {
		r.deadline = req.Deadline.Sub(a.epoch)
	}
	return r
}

func (a *Admission) allocate() *requestState {
	n := len(a.free)
	if n == 0 {
		return new(requestState)
	}
	r := a.free[n-1]
	a.free = a.free[:n-1]
	return r
}

func (a *Admission) recycle(r *requestState) {
	*r = requestState{}
	a.free = append(a.free, r)
}
