package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/admission"
	"github.com/cyclamenbeam/cyclamenbeam/internal/directory"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// start admits a new run and makes its first dispatch. A refusal ends it.
func (d *Dispatcher) start(ctx context.Context, r *run) {
	if p := d.o.Admission.Admit(ctx, r.ask()); p != nil {
		r.refuse(p)
		return
	}
	if r.life.Spec().NonIdempotent {
		if p := r.intend(ctx); p != nil {
			r.refuse(p)
			return
		}
	}
	d.o.Locator.Announce(r.holding(false))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.extended = time.Now()
	r.perform(r.life.Start(r.extended))
}

func (r *run) ask() admission.Request {
	return admission.Request{
		ID:           r.ref.ID,
		Workspace:    r.ref.Workspace,
		Pool:         admission.Pool(r.route.Model.Model),
		Model:        r.route.Model,
		PromptTokens: r.route.PromptTokens,
		MaxTokens:    r.route.MaxTokens,
	}
}

// intend records a non-idempotent request in the ledger before its dispatch.
func (r *run) intend(ctx context.Context) *problem.Problem {
	in := r.d.o.Intents.Intend(ctx, r.ref, r.owner, r.digest)
	switch {
	case in.Granted:
		r.owner = in.Owner
		return nil
	case in.Refused != nil:
		return in.Refused
	default:
		return problem.New(http.StatusConflict, verdict.MayHaveRun, "a request with this Idempotency-Key was dispatched before; its answer is no longer kept")
	}
}

func (r *run) holding(finished bool) directory.Holding {
	return directory.Holding{
		Request:   r.ref.ID,
		Workspace: r.ref.Workspace,
		Holder:    r.d.o.Instance,
		Transfer:  r.transfer,
		Finished:  finished,
	}
}

// refuse ends a run that was never dispatched, and forgets it: a later try
// with the same key starts afresh.
func (r *run) refuse(p *problem.Problem) {
	r.mu.Lock()
	r.end = &gateway.Part{Failure: p}
	r.wake()
	r.mu.Unlock()
	r.mu.Lock()
	r.release()
	r.mu.Unlock()
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.d.table.Remove(r.ref)
	r.d.drop(r)
}

// drop forgets a run, unless another took its place. Called with the lock held.
func (d *Dispatcher) drop(r *run) {
	if d.runs[r.ref] == r {
		delete(d.runs, r.ref)
	}
}

// forget takes a run that was handed over out of the table.
func (r *run) forget() {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if r.d.runs[r.ref] == r {
		r.d.table.Remove(r.ref)
	}
}

// accepted notes that an engine answers, from where on the request is
// accepted. Called with the lock held.
func (r *run) accepted(now time.Time) {
	if r.opened {
		return
	}
	r.opened = true
	r.life.Accepted(now)
	r.wake()
}

// accept waits until the request is accepted or refused. Refusing is honest
// only until then, so an endpoint must have answered first.
func (r *run) accept(ctx context.Context) (gateway.Answer, *problem.Problem) {
	rd := r.reader()
	for {
		r.mu.Lock()
		opened, end := r.opened, r.end
		r.mu.Unlock()
		if end != nil && end.Failure != nil && !opened {
			rd.Close()
			return nil, end.Failure
		}
		if opened || end != nil {
			return rd, nil
		}
		select {
		case <-rd.wake:
		case <-ctx.Done():
			rd.Close()
			return nil, r.abandon()
		}
	}
}

// abandon ends a request whose only caller left before it was accepted.
func (r *run) abandon() *problem.Problem {
	r.mu.Lock()
	alone := len(r.readers) == 0 && !r.opened
	r.mu.Unlock()
	if alone {
		r.do(r.life.Cancel)
	}
	return problem.New(http.StatusServiceUnavailable, verdict.MayHaveRun, "the caller left before the request was accepted")
}

// finish ends the run. Called with the lock held.
func (r *run) finish(end *gateway.Part) {
	r.end = end
	if r.cancel != nil {
		r.cancel()
	}
	r.wake()
	r.release()
	go r.ended()
}

// release gives the run's place back to admission, once.
func (r *run) release() {
	if r.released {
		return
	}
	r.released = true
	answer := r.life.Answer().Len()
	u := admission.Usage{PromptTokens: r.route.PromptTokens, CompletionTokens: answer}
	u.NotRun = r.end != nil && r.end.Failure != nil && r.end.Failure.Verdict == verdict.NotRun
	r.d.o.Admission.Release(r.ref.ID, u)
}

// ended does what needs no lock of the run: the table, the directory, the ledger.
func (r *run) ended() {
	v := verdict.Ran
	if r.end.Failure != nil {
		v = r.end.Failure.Verdict
	}
	if r.end.MovedTo != "" {
		r.forget()
		return
	}
	r.d.finishedHere(r.ref)
	r.d.o.Observer.Ended(v.String())
	r.d.mu.Lock()
	if v == verdict.NotRun {
		r.d.table.Remove(r.ref)
		r.d.drop(r)
	} else {
		r.d.table.Finish(time.Now(), r.ref)
	}
	r.d.mu.Unlock()
	if v != verdict.NotRun {
		r.d.o.Locator.Announce(r.holding(true))
	}
	if r.life.Spec().NonIdempotent && v == verdict.Ran {
		r.d.o.Intents.Settle(r.ref, r.owner, r.digest, ledger.Outcome{Status: http.StatusOK, ContentType: "text/plain", Body: []byte(r.life.Answer().Text())})
	}
}

// movedTo ends the run here because daemon to holds it now. Called with the lock held.
func (r *run) movedTo(to fleet.DaemonID) {
	r.moved.Store(true)
	r.finish(&gateway.Part{MovedTo: r.d.o.Address(to)})
}

// problemOf turns the life's failure into what the caller sees.
func problemOf(f request.Fail) *problem.Problem {
	status := http.StatusBadGateway
	switch f.Reason {
	case request.DeadlinePassed:
		status = http.StatusGatewayTimeout
	case request.NothingToRunOn, request.BudgetSpent:
		status = http.StatusServiceUnavailable
	case request.CrashesEngines:
		if f.Verdict == verdict.NotRun {
			status = http.StatusServiceUnavailable
		}
	case request.Cancelled:
		status = http.StatusConflict
	}
	return problem.New(status, f.Verdict, "%s (last attempt: %s)", f.Reason, f.Cause).After(f.RetryAfter)
}
