package relay

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// conclude gives the caller its final answer.
func (f *flight) conclude(ctx context.Context, s step, refusal *Refusal, kept *keptAnswer) {
	f.outcome.Events, f.outcome.Reached, f.outcome.Unreached = f.events.count, f.tally.reached, f.tally.unreached
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		f.outcome.Reason = CallerLeft
		if f.begun {
			f.sink.Break()
		}
	case s == answer && kept != nil && !f.begun:
		f.sink.Whole(kept.status, kept.header, kept.body)
	case s == answer && kept == nil && f.begun:
		f.sink.End()
	case f.begun:
		f.outcome.Reason = f.failure(ctx)
		f.sink.Break()
	default:
		f.refuse(ctx, s, refusal)
	}
	if f.tally.ran == 0 {
		f.relay.state.giveBack(&f.admitted)
	}
}

// refuse sends this daemon's own answer.
func (f *flight) refuse(ctx context.Context, s step, refusal *Refusal) {
	switch {
	case refusal != nil && refusal.Reason == Quarantined:
		refusal.Verdict = f.verdict()
	case s == fail || f.tally.ran > 0:
		refusal = &Refusal{Reason: f.failure(ctx), Verdict: verdict.MayHaveRun}
	case refusal == nil && f.tally.reached > 0:
		refusal = f.relay.state.busy(f, Shed)
	case refusal == nil:
		refusal = f.relay.state.busy(f, NoEndpoint)
	}
	f.outcome.Reason = refusal.Reason
	f.outcome.Verdict = refusal.Verdict
	f.outcome.RetryAfter = refusal.RetryAfter
	f.sink.Refuse(*refusal)
}

// verdict says whether some endpoint may have run the request.
func (f *flight) verdict() verdict.Verdict {
	if f.tally.ran > 0 {
		return verdict.MayHaveRun
	}
	return verdict.NotRun
}

// failure names the reason of a request that may have run.
func (f *flight) failure(ctx context.Context) Reason {
	if ctx.Err() != nil || time.Until(f.until) < enough {
		return TimedOut
	}
	return Broken
}
