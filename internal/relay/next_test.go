package relay

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

func TestNext(t *testing.T) {
	order := &route.Route{Kind: route.NonIdempotent, MaxAttempts: 3}
	lookup := &route.Route{Kind: route.Idempotent, MaxAttempts: 2}
	stream := &route.Route{Kind: route.Streaming, MaxAttempts: 2}
	resumable := &route.Route{Kind: route.Streaming, Resumable: true, MaxAttempts: 2}
	broken := attemptResult{reached: true, timeLeft: true}
	failed := attemptResult{class: Failure, reached: true, complete: true, timeLeft: true, verdict: verdict.Ran}
	shed := attemptResult{class: Refused, reached: true, complete: true, timeLeft: true, verdict: verdict.NotRun}
	unreached := attemptResult{timeLeft: true, verdict: verdict.NotRun}
	late := func(e attemptResult) attemptResult { e.timeLeft = false; return e }
	for _, c := range []struct {
		name   string
		route  *route.Route
		tally  tally
		end    attemptResult
		budget bool
		want   step
	}{
		{"success", order, tally{reached: 1, ran: 1}, attemptResult{class: Success, reached: true, complete: true, verdict: verdict.Ran}, true, answer},
		{"an order may have run", order, tally{reached: 1, ran: 1}, broken, true, fail},
		{"an order failed at its endpoint", order, tally{reached: 1, ran: 1}, failed, true, answer},
		{"an order was not run", order, tally{reached: 1}, shed, true, again},
		{"an order reached no endpoint", order, tally{unreached: 1}, unreached, false, again},
		{"no endpoint can be reached", order, tally{unreached: maxUnreached}, unreached, true, refuse},
		{"refused without budget", order, tally{reached: 1}, shed, false, refuse},
		{"refused late", order, tally{reached: 1}, late(shed), true, refuse},
		{"a lookup may run again", lookup, tally{reached: 1, ran: 1}, broken, true, again},
		{"a lookup without budget", lookup, tally{reached: 1, ran: 1}, broken, false, fail},
		{"a lookup's failure without budget", lookup, tally{reached: 1, ran: 1}, failed, false, answer},
		{"a lookup ran as often as it may", lookup, tally{reached: 2, ran: 2}, failed, true, answer},
		{"a lookup ran, then reached no endpoint", lookup, tally{reached: 1, ran: 1, unreached: maxUnreached}, unreached, true, fail},
		{"a lookup ran, then was shed", lookup, tally{reached: 2, ran: 1}, late(shed), true, fail},
		{"a stream may have run", stream, tally{reached: 1, ran: 1}, broken, true, fail},
		{"a stream that resumes", resumable, tally{reached: 1, ran: 1}, broken, true, again},
		{"a long answer breaks off", lookup, tally{reached: 1, ran: 1}, attemptResult{class: Success, reached: true, passedOn: true, timeLeft: true}, true, fail},
		{"a long failure was passed on", resumable, tally{reached: 1, ran: 1}, attemptResult{class: Failure, reached: true, complete: true, passedOn: true, timeLeft: true}, true, answer},
	} {
		got := next(c.route, c.tally, c.end, func() bool { return c.budget })
		assert.Equal(t, got, c.want, c.name)
	}
}

// Guards against a chain of attempts where most endpoints want no requests.
func TestOneFurtherChoiceWhereMostEndpointsRest(t *testing.T) {
	r := &route.Route{Kind: route.Idempotent, MaxAttempts: 4}
	res := attemptResult{reached: true, class: Refused, verdict: verdict.NotRun, complete: true, timeLeft: true, mostRest: true}
	budget := func() bool { return true }
	assert.Equal(t, next(r, tally{reached: 1}, res, budget), again)
	assert.Equal(t, next(r, tally{reached: 2}, res, budget), refuse)
	res.mostRest = false
	assert.Equal(t, next(r, tally{reached: 2}, res, budget), again)
}
