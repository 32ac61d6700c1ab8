package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const (
	// wholeBytes bounds an answer that is held until it is whole; a longer
	// one is passed on as it comes. Plain answers are some kilobytes.
	wholeBytes = 1 << 20
	// enough is the time without which no further attempt is made.
	enough = 30 * time.Millisecond
)

// flight is one admitted request under way. It belongs to one goroutine.
type flight struct {
	relay   *Relay
	request *Request
	admitted
	sink  Sink
	ask   *balance.Request
	tally tally
	// begun says that the caller has the head of an answer.
	begun bool
	// asked says that it was counted as work for the service.
	asked bool
	// counted says that the observer was told that it began to run.
	counted bool
	// known is the request's key, zero until it is asked for.
	known quarantine.Key
	// passed is when the caller was last sent a piece of a stream.
	passed  time.Time
	events  events
	outcome Outcome
}

func newFlight(r *Relay, q *Request, a *admitted, sink Sink) *flight {
	f := &flight{relay: r, request: q, admitted: *a, sink: sink, ask: q.ask(a.service)}
	f.events.lastID = q.LastEvent
	f.outcome = outcomeFor(q, a)
	f.outcome.Service = a.service
	return f
}

// outcomeFor returns what is known of a request's outcome before any attempt.
func outcomeFor(q *Request, a *admitted) Outcome {
	o := Outcome{ID: q.ID, Verdict: verdict.NotRun, Tokens: q.tokens()}
	if a.table != nil {
		o.Config = a.table.Version
		o.Since = a.since
	}
	if a.route != nil {
		o.Route = a.route.Name
	}
	if a.workspace != nil {
		o.Workspace = a.workspace.Name
	}
	return o
}

// run makes attempts until the caller has its final answer.
func (f *flight) run(ctx context.Context) {
	var failed *keptAnswer // of the last attempt that an endpoint failed
	for {
		choice, refusal := f.choose()
		if refusal != nil && failed != nil {
			f.outcome.Failed = true
			f.conclude(ctx, answer, nil, failed)
			return
		}
		if refusal != nil {
			f.conclude(ctx, giveUp(f.tally), refusal, nil)
			return
		}
		e, kept := f.attempt(ctx, choice)
		if e.class == Failure && e.whole {
			failed = kept
		}
		e.timeLeft = ctx.Err() == nil && time.Until(f.until) > enough
		s := next(f.route, f.tally, e, f.budget)
		if s == again {
			f.outcome.again()
			f.ask.Tried = append(f.ask.Tried, choice.Endpoint.ID)
			continue
		}
		f.conclude(ctx, s, nil, kept)
		return
	}
}

// choose returns where the next attempt goes, or why there is none.
func (f *flight) choose() (balance.Choice, *Refusal) {
	if refusal := f.held(); refusal != nil {
		return balance.Choice{}, refusal
	}
	return f.relay.state.pick(time.Now(), f)
}

func (f *flight) budget() bool { return f.relay.state.takeRetry(time.Now(), f.service) }

// keptAnswer is an endpoint's whole answer that was not passed on yet.
type keptAnswer struct {
	status int
	header http.Header
	body   []byte
}

// attempt sends the request to an endpoint once and takes its answer in.
func (f *flight) attempt(ctx context.Context, c balance.Choice) (end, *keptAnswer) {
	f.outcome.Endpoint, f.outcome.Version = c.Endpoint.ID, c.Endpoint.Version
	f.outcome.Predicted = time.Duration(c.Wait * float64(time.Second))
	sent := time.Now()
	attempt, lose := context.WithCancelCause(ctx)
	defer lose(nil)
	t := &track{flight: f, choice: c, sent: sent, lose: lose}
	e, kept, err := f.exchange(attempt, t)
	if cause := context.Cause(attempt); ctx.Err() == nil && cause != nil {
		err = cause
	}
	f.outcome.Cause = err
	if cutOff(ctx, attempt, e, err) {
		f.cut(t)
	}
	f.outcome.Failed = e.class == Failure && e.whole
	switch {
	case !e.reached:
		f.tally.unreached++
	case e.verdict == verdict.NotRun:
		f.tally.reached++
	default:
		f.tally.reached++
		f.tally.ran++
		f.outcome.Verdict = e.verdict
		if f.route.Kind != route.Streaming || e.whole && e.class != Success {
			f.began(sent)
		}
	}
	f.relay.state.done(time.Now(), t, outcomeOf(ctx, e))
	return e, kept
}

// outcomeOf says what an attempt's end tells about its endpoint.
func outcomeOf(ctx context.Context, e end) balance.Outcome {
	switch {
	case e.class == Success && e.whole, e.class == Rejected:
		return balance.Answered
	case !e.reached && ctx.Err() == nil, e.class == Stranger:
		return balance.Unreachable
	case ctx.Err() == context.Canceled:
		return balance.Abandoned
	case e.verdict == verdict.NotRun:
		return balance.Refused
	default:
		return balance.Failed
	}
}

// exchange is one request and its answer on one connection.
func (f *flight) exchange(ctx context.Context, t *track) (end, *keptAnswer, error) {
	call := f.call(t)
	f.relay.state.sent(t)
	a, err := f.relay.pool.Send(ctx, call)
	if err != nil {
		v := verdict.Of(err)
		return end{verdict: v, reached: v != verdict.NotRun}, nil, err
	}
	defer a.Close()
	class := f.relay.protocol.Classify(a.Status, a.Header)
	e := end{class: class, reached: true, verdict: verdict.Ran}
	if class == Refusing || class == Stranger {
		e.verdict = verdict.NotRun
	}
	f.outcome.Status = a.Status
	if class == Success && f.route.Kind == route.Streaming {
		err := f.stream(t, a)
		e.whole = err == nil
		return e, nil, err
	}
	body, err := io.ReadAll(io.LimitReader(a.Body, wholeBytes+1))
	if err != nil {
		return e, nil, err
	}
	f.first(t)
	if len(body) > wholeBytes {
		err := f.long(a, body)
		e.whole = err == nil
		return e, nil, err
	}
	e.whole = true
	return e, &keptAnswer{status: a.Status, header: f.relay.protocol.Answer(a.Header), body: body}, nil
}

// call builds the send of an attempt.
func (f *flight) call(t *track) *upstream.Call {
	attempt := &Attempt{
		Endpoint:  t.choice.Endpoint,
		Workspace: f.outcome.Workspace,
		Priority:  f.priority,
		LastEvent: f.events.lastID,
		FetchFrom: t.choice.FetchFrom,
	}
	c := &upstream.Call{
		Address: t.choice.Endpoint.Address,
		Method:  f.request.Method,
		Target:  f.request.Target,
		Host:    f.request.Host,
		Header: func() http.Header {
			attempt.Left = time.Until(f.until)
			return f.relay.protocol.Header(f.request, attempt)
		},
		Body: f.request.Body,
		Owns: f.relay.protocol.Owns(f.request),
	}
	another := f.route.Repeatable() && f.tally.ran+1 < f.route.MaxAttempts
	c.Patience = patience(another, f.outcome.Predicted)
	if another && f.route.Kind == route.Idempotent {
		c.HeadTimeout = max(time.Until(f.until)/2, f.route.Target)
	}
	return c
}

// first notes an attempt's first token.
func (f *flight) first(t *track) {
	if !t.first {
		t.first = true
		f.relay.state.first(t)
		f.relay.guard.Ran(&t.choice.Endpoint, t.sent, f.key)
		if f.outcome.First == 0 {
			f.outcome.First = time.Since(f.request.Received)
		}
	}
}

// began tells the observer, once, that an endpoint began to run the request.
func (f *flight) began(at time.Time) {
	if !f.counted && f.workspace != nil {
		f.counted = true
		f.relay.observer.Began(f.workspace.Name, at)
	}
}
