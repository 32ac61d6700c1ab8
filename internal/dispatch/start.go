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

// start admits a new run and performs its first dispatch. A refusal ends the run.
func (d *Dispatcher) start(ctx context.Context, r *run) {
	if p := d.opts.Admission.Admit(ctx, r.admissionRequest()); p != nil {
		r.refuse(p)
		return
	}
	if r.life.Spec().NonIdempotent {
		if p := r.intend(ctx); p != nil {
			r.refuse(p)
			return
		}
	}
	d.opts.Locator.Announce(r.holding(false))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastExtended = time.Now()
	r.perform(r.life.Start(r.lastExtended))
}

func (r *run) admissionRequest() admission.Request {
	return admission.Request{
		ID:           r.ref.ID,
		Workspace:    r.ref.Workspace,
		Pool:         admission.Pool(r.route.Model.Model),
		Model:        r.route.Model,
		PromptTokens: r.route.PromptTokens,
		MaxTokens:    r.route.MaxTokens,
	}
}

// intend records a non-idempotent request in the ledger before it is dispatched.
func (r *run) intend(ctx context.Context) *problem.Problem {
	in := r.d.opts.Intents.Intend(ctx, r.ref, r.owner, r.digest)
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
		Holder:    r.d.opts.Instance,
		Transfer:  r.transfer,
		Finished:  finished,
	}
}

// refuse ends a run that was never dispatched and removes it, so that a later
// request with the same key starts from scratch.
func (r *run) refuse(p *problem.Problem) {
	r.mu.Lock()
	r.end = &gateway.Part{Failure: p}
	r.wake()
	r.mu.Unlock()
	r.mu.Lock()
	r.releaseAdmission()
	r.mu.Unlock()
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	r.d.table.Remove(r.ref)
	r.d.removeRun(r)
}

// removeRun removes a run, unless another has replaced it. Called with d.mu held.
func (d *Dispatcher) removeRun(r *run) {
	if d.runs[r.ref] == r {
		delete(d.runs, r.ref)
	}
}

// removeFromTable removes the table's entry of a run that was handed over, unless
// another run has replaced it. The run stays in d.runs until a sweep, so that
// readers get the address of the new holder.
func (r *run) removeFromTable() {
	r.d.mu.Lock()
	defer r.d.mu.Unlock()
	if r.d.runs[r.ref] == r {
		r.d.table.Remove(r.ref)
	}
}

// markAccepted marks the request as accepted, because an engine has begun to
// answer. Called with r.mu held.
func (r *run) markAccepted(now time.Time) {
	if r.accepted {
		return
	}
	r.accepted = true
	r.life.Accepted(now)
	r.wake()
}

// waitAccepted waits until the request is accepted or refused. An accepted
// request can't be refused any more, so it is only accepted once an endpoint has
// begun to answer.
func (r *run) waitAccepted(ctx context.Context) (gateway.Answer, *problem.Problem) {
	rd := r.newReader()
	for {
		r.mu.Lock()
		accepted, end := r.accepted, r.end
		r.mu.Unlock()
		if end != nil && end.Failure != nil && !accepted {
			rd.Close()
			return nil, end.Failure
		}
		if accepted || end != nil {
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

// abandon cancels a request whose only caller left before it was accepted.
func (r *run) abandon() *problem.Problem {
	r.mu.Lock()
	alone := len(r.readers) == 0 && !r.accepted
	r.mu.Unlock()
	if alone {
		r.apply(r.life.Cancel)
	}
	return problem.New(http.StatusServiceUnavailable, verdict.MayHaveRun, "the caller left before the request was accepted")
}

// finish ends the run; end is the last part of its answer. Called with r.mu held.
func (r *run) finish(end *gateway.Part) {
	r.end = end
	if r.cancel != nil {
		r.cancel()
	}
	r.wake()
	r.releaseAdmission()
	go r.cleanUp()
}

// releaseAdmission ends the run's admission, once. Called with r.mu held.
func (r *run) releaseAdmission() {
	if r.admissionReleased {
		return
	}
	r.admissionReleased = true
	answer := r.life.Answer().Len()
	u := admission.Usage{PromptTokens: r.route.PromptTokens, CompletionTokens: answer}
	u.NotRun = r.end != nil && r.end.Failure != nil && r.end.Failure.Verdict == verdict.NotRun
	r.d.opts.Admission.Release(r.ref.ID, u)
}

// cleanUp updates the hand-over, the table, the directory and the ledger after
// the end of the run. Called without r.mu.
func (r *run) cleanUp() {
	v := verdict.Ran
	if r.end.Failure != nil {
		v = r.end.Failure.Verdict
	}
	if r.end.MovedTo != "" {
		r.removeFromTable()
		return
	}
	r.d.reportFinished(r.ref)
	r.d.opts.Observer.Ended(v.String())
	r.d.mu.Lock()
	if v == verdict.NotRun {
		r.d.table.Remove(r.ref)
		r.d.removeRun(r)
	} else {
		r.d.table.Finish(time.Now(), r.ref)
	}
	r.d.mu.Unlock()
	if v != verdict.NotRun {
		r.d.opts.Locator.Announce(r.holding(true))
	}
	if r.life.Spec().NonIdempotent && v == verdict.Ran {
		r.d.opts.Intents.Settle(r.ref, r.owner, r.digest, ledger.Outcome{Status: http.StatusOK, ContentType: "text/plain", Body: []byte(r.life.Answer().Text())})
	}
}

// endHandedOver ends the run because daemon to holds the request now. Called
// with r.mu held.
func (r *run) endHandedOver(to fleet.DaemonID) {
	r.handedOver.Store(true)
	r.finish(&gateway.Part{MovedTo: r.d.opts.CallerAddress(to)})
}

// problemOf returns the response to the caller of a failed request.
func problemOf(f request.Fail) *problem.Problem {
	status := http.StatusBadGateway
	switch f.Reason {
	case request.DeadlinePassed:
		status = http.StatusGatewayTimeout
	case request.NoEndpointFound, request.BudgetSpent:
		status = http.StatusServiceUnavailable
	case request.CrashesEngines:
		if f.Verdict == verdict.NotRun {
			status = http.StatusServiceUnavailable
		}
	case request.Cancelled:
		status = http.StatusConflict
	}
	return problem.New(status, f.Verdict, "%s (last attempt: %s)", f.Reason, f.Cause).WithRetryAfter(f.RetryAfter)
}
