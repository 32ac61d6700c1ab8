package relay

import (
	"context"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// conclude sends the caller its final answer.
func (f *inflight) conclude(ctx context.Context, s step, refusal *Refusal, buffered *bufferedAnswer) {
	f.outcome.Events, f.outcome.Reached, f.outcome.Unreached = f.events.Count(), f.tally.reached, f.tally.unreached
	switch {
	case callerLeft(ctx):
		f.outcome.Reason = CallerLeft
		f.sink.Abort()
	case s == answer && buffered != nil && !f.headSent:
		f.setEndpoint(buffered.endpoint)
		f.sink.Whole(buffered.status, buffered.header, buffered.body)
	case s == answer && buffered == nil && f.headSent:
		f.sink.End()
		f.noteEnd()
	case f.headSent:
		f.outcome.Reason = f.failureReason(ctx)
		f.sink.Abort()
	default:
		f.refuse(ctx, s, refusal)
	}
	if f.tally.ran == 0 {
		f.relay.state.refund(&f.admitted)
	}
}

// refuse sends an answer of this daemon itself.
func (f *inflight) refuse(ctx context.Context, s step, refusal *Refusal) {
	switch {
	case refusal != nil && refusal.Reason == Quarantined:
		refusal.Verdict = f.verdict()
	case s == fail || f.tally.ran > 0:
		refusal = &Refusal{Reason: f.failureReason(ctx), Verdict: verdict.MayHaveRun}
	case stopped(ctx):
		refusal = notRun(Stopping, 0)
	case refusal == nil && f.tally.reached > 0:
		refusal = f.relay.state.refuseBusy(f, Shed)
	case refusal == nil:
		refusal = f.relay.state.refuseBusy(f, NoEndpoint)
	}
	r := refusal.confirmed(f.sink.Deliveries())
	f.outcome.Reason, f.outcome.Verdict, f.outcome.RetryAfter = r.Reason, r.Verdict, r.RetryAfter
	f.sink.Refuse(r)
}

// verdict returns whether an endpoint may have run the request.
func (f *inflight) verdict() verdict.Verdict {
	if f.tally.ran > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// failureReason returns the reason why a request that may have run has no answer.
func (f *inflight) failureReason(ctx context.Context) Reason {
	if stopped(ctx) {
		return CutOff
	}
	if ctx.Err() != nil || time.Until(f.deadline) < minTimeLeft {
		return TimedOut
	}
	return Broken
}
