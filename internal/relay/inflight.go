package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/eventstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

const (
	// maxBufferedBytes bounds an answer that is buffered until it is complete; a
	// longer one is forwarded as it arrives. Plain answers are some kilobytes.
	maxBufferedBytes = 1 << 20
	// minTimeLeft is the time to the deadline below which no further attempt is
	// made.
	minTimeLeft = 30 * time.Millisecond
)

// inflight is an admitted request in progress. Only one goroutine uses it.
type inflight struct {
	relay   *Relay
	request *Request
	admitted
	sink       Sink
	balanceReq *balance.Request
	tally      tally
	// headSent says that the caller was sent the head of an answer.
	headSent bool
	// workCounted says that the request was counted as work of its service.
	workCounted bool
	// beganReported says that the observer was notified that the request began to
	// run.
	beganReported bool
	// requestIdentity is by what the request is recognised, nil until identity is called.
	requestIdentity *quarantine.Identity
	// holds is the guard's number when the request was found not to be held.
	holds uint64
	// lastPieceAt is when the caller was last sent a piece of a stream.
	lastPieceAt time.Time
	// held is what the answer takes of the limit of all answers in memory, in bytes.
	held int64
	// forwarded says that another daemon has admitted the request.
	forwarded bool
	// triedDaemons are the daemons to which the request was forwarded.
	triedDaemons []string
	events       *eventstream.Parser
	continuation continuation
	outcome      Outcome
}

func newInflight(r *Relay, q *Request, a *admitted, sink Sink, forwarded bool) *inflight {
	f := &inflight{relay: r, request: q, admitted: *a, sink: sink, balanceReq: q.balanceRequest(a.service), forwarded: forwarded}
	if a.route != nil && a.route.Kind == route.Streaming {
		f.balanceReq.PauseTarget = a.route.PauseTarget
	}
	f.events = newEvents(q, a, r.protocol.EventFields())
	f.continuation = newContinuation(q, a, forwarded)
	f.outcome = initialOutcome(q, a)
	f.outcome.Service, f.outcome.Forwarded = a.service, forwarded
	if a.route.Resumable && q.takesUp() {
		f.outcome.Continued, f.outcome.Resumes = ByCaller, q.Resumes
	}
	return f
}

// initialOutcome returns a request's outcome as known before any attempt.
func initialOutcome(q *Request, a *admitted) Outcome {
	o := Outcome{ID: q.ID, Verdict: verdict.NotRun, Tokens: q.tokens(), Priority: a.priority}
	if a.table != nil {
		o.ConfigVersion = a.table.Version
		o.ConfiguredAt = a.configuredAt
	}
	if a.route != nil {
		o.Route, o.RoutePriority = a.route.Name, a.route.Priority
	}
	if a.workspace != nil {
		o.Workspace = a.workspace.Name
	}
	return o
}

// run makes attempts until the caller has its final answer.
func (f *inflight) run(ctx context.Context) {
	if refusal := f.findOrigin(ctx); refusal != nil {
		f.conclude(ctx, refuse, refusal, nil)
		return
	}
	var failed *bufferedAnswer // the last complete answer that reports a failure of its endpoint
	for {
		target, refusal := f.choose()
		if refusal != nil && failed != nil {
			f.outcome.Failed = true
			f.conclude(ctx, answer, nil, failed)
			return
		}
		if refusal != nil {
			f.conclude(ctx, giveUp(f.tally), refusal, nil)
			return
		}
		result, buffered := f.attemptAt(ctx, target)
		if result.class == Failure && result.complete {
			failed = buffered
		}
		result.timeLeft = ctx.Err() == nil && time.Until(f.deadline) > minTimeLeft
		result.mostRest = result.class == Refused && f.relay.state.mostRest(f)
		step := next(f.route, f.tally, result, f.takeRetry)
		if step == again {
			f.outcome.keepFirstCause()
			continue
		}
		f.conclude(ctx, step, result.refusal, buffered)
		return
	}
}

// target is where an attempt goes: to an endpoint, or through the daemon at an address.
type target struct {
	choice balance.Choice
	daemon string
}

func (f *inflight) attemptAt(ctx context.Context, t target) (attemptResult, *bufferedAnswer) {
	if t.daemon != "" {
		return f.attemptVia(ctx, t.daemon)
	}
	f.outcome.Via = ""
	res, buffered := f.attempt(ctx, t.choice)
	f.balanceReq.Tried = append(f.balanceReq.Tried, t.choice.Endpoint.ID)
	return res, buffered
}

// choose returns the target of the next attempt, or a refusal if there is none.
func (f *inflight) choose() (target, *Refusal) {
	if !f.relay.accepts(f.request, &f.admitted) {
		return target{}, notRun(Stopping, 0)
	}
	if refusal := f.refuseHeld(); refusal != nil {
		return target{}, refusal
	}
	if refusal := f.requiredVersion(); refusal != nil {
		return target{}, refusal
	}
	if daemon, refusal := f.forwardTarget(); daemon != "" || refusal != nil {
		return target{daemon: daemon}, refusal
	}
	choice, refusal := f.relay.state.pick(time.Now(), f)
	if refusal != nil {
		if daemon := f.lastDaemon(refusal); daemon != "" {
			return target{daemon: daemon}, nil
		}
	}
	return target{choice: choice}, refusal
}

func (f *inflight) takeRetry() bool { return f.relay.state.takeRetry(time.Now(), f.service) }

// bufferedAnswer is an endpoint's complete answer that was not sent to the caller
// yet.
type bufferedAnswer struct {
	status   int
	header   http.Header
	body     []byte
	endpoint *roster.Endpoint
}

// attempt sends the request to an endpoint once and reads its answer.
func (f *inflight) attempt(ctx context.Context, c balance.Choice) (attemptResult, *bufferedAnswer) {
	f.outcome.Endpoint, f.outcome.Version = c.Endpoint.ID, c.Endpoint.Version
	if f.events.Count() > 0 && f.outcome.Continued == NotContinued {
		f.outcome.Continued = ByDaemon
	}
	f.outcome.Predicted = time.Duration(c.Wait * float64(time.Second))
	sent := time.Now()
	attemptCtx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	t := &trackedAttempt{inflight: f, choice: c, sent: sent, abort: abort}
	res, buffered, err := f.exchange(attemptCtx, t)
	if cause := context.Cause(attemptCtx); ctx.Err() == nil && cause != nil {
		err = cause
	}
	f.outcome.Cause = err
	if errors.Is(err, errOtherVersion) && !t.firstPieceAt.IsZero() {
		f.revokeOrigin()
	}
	if res.complete && res.class == Success {
		f.reportRan(t)
	}
	if closedByEndpoint(ctx, attemptCtx, res, err) {
		f.reportCut(t)
	}
	f.outcome.Failed = res.class == Failure && res.complete
	f.count(res)
	ran := res.reached && res.verdict != verdict.NotRun
	if ran && (f.route.Kind != route.Streaming || res.complete && res.class != Success) {
		f.reportBegan(sent)
	}
	f.relay.state.done(time.Now(), t, balanceOutcome(ctx, res, err))
	return res, buffered
}

// count counts an attempt.
func (f *inflight) count(res attemptResult) {
	switch {
	case !res.reached:
		f.tally.unreached++
	case res.verdict == verdict.NotRun:
		f.tally.reached++
	default:
		f.tally.reached++
		f.tally.ran++
		f.outcome.Verdict = res.verdict
	}
}

// balanceOutcome returns an attempt's result in the balancer's terms.
func balanceOutcome(ctx context.Context, res attemptResult, err error) balance.Outcome {
	switch {
	case errors.Is(err, upstream.ErrNoOldConnection), errors.Is(err, upstream.ErrOtherRun), errors.Is(err, errHeld):
		return balance.Refused // by this daemon, for this request
	case res.trailing && res.verdict != verdict.NotRun:
		return balance.Failed
	case res.class == Success && res.complete, res.class == Rejected:
		return balance.Answered
	case !res.reached && ctx.Err() == nil, res.class == Misdirected:
		return balance.Unreachable
	case ctx.Err() == context.Canceled:
		return balance.Abandoned
	case res.verdict == verdict.NotRun:
		return balance.Refused
	case timedOut(err):
		return balance.Silent
	default:
		return balance.Failed
	}
}

// exchange sends the request and reads its answer on one connection.
func (f *inflight) exchange(ctx context.Context, t *trackedAttempt) (attemptResult, *bufferedAnswer, error) {
	call := f.call(t)
	t.silenceTimeout = call.SilenceTimeout
	f.relay.state.sent(t)
	a, err := f.relay.pool.Send(ctx, call)
	if err != nil {
		return f.noAnswer(t, err), nil, err
	}
	defer a.Close()
	return f.receive(ctx, t, a)
}

// noAnswer returns the result of an attempt that received no answer to its request.
func (f *inflight) noAnswer(t *trackedAttempt, err error) attemptResult {
	v := verdict.Of(err)
	f.outcome.Evidence = evidenceOf(v)
	f.reportInvalid(t.choice.Endpoint.ID, err)
	return attemptResult{verdict: v, reached: v != verdict.NotRun}
}

// receive reads an endpoint's answer whose head was received, and reports what is invalid. What an invalid head
// states is not recorded.
func (f *inflight) receive(ctx context.Context, t *trackedAttempt, a *upstream.Answer) (attemptResult, *bufferedAnswer, error) {
	class := f.relay.protocol.Classify(a.Status, a.Header)
	f.outcome.Evidence = endpointEvidence(class, a.Status, a.Unnamed)
	invalid := f.checkHead(a)
	if invalid == nil && class != Misdirected && t.choice.Endpoint.ID != "" {
		f.noteStated(t, f.relay.protocol.Stated(a.Status, a.Header))
	}
	res, buffered, err := f.readAnswer(ctx, t, a, class, invalid)
	f.reportInvalid(t.choice.Endpoint.ID, err)
	res.trailing = f.reportTrailing(t, a)
	return res, buffered, err
}

// readAnswer reads an answer whose head was received, and forwards it if it is a stream or
// long. invalid is the error of its head, nil if it can be an endpoint's.
func (f *inflight) readAnswer(ctx context.Context, t *trackedAttempt, a *upstream.Answer, class Class, invalid error) (attemptResult, *bufferedAnswer, error) {
	res := attemptResult{class: class, reached: true, headReceived: true}
	var unproven error
	res.verdict, unproven = judge(f.route, class, a.Status, a.Unnamed, t.forwarded)
	if invalid != nil { // such a head proves nothing
		res.verdict, unproven = verdict.MayHaveRun, invalid
		f.outcome.Evidence = delivery.NoAnswer
	}
	f.outcome.Status = a.Status
	a.Delivery.Settle(delivery.Record{NotRun: res.verdict == verdict.NotRun, Evidence: f.outcome.Evidence, Status: a.Status})
	if unproven != nil {
		res.class = Failure
		return res, nil, unproven
	}
	if class == Success && f.route.Kind == route.Streaming {
		err := f.forwardStream(ctx, t, a)
		res.complete = err == nil
		return res, nil, err
	}
	body, whole, err := f.readWhole(a.Body)
	if err != nil {
		return res, nil, err
	}
	if !whole {
		f.firstPiece(time.Now(), t)
		res.passedOn = true
		err := f.forwardLong(ctx, t, a, body)
		res.complete = err == nil
		return res, nil, err
	}
	if err := f.confirmEnd(ctx, t, a); err != nil {
		return res, nil, err
	}
	f.firstPiece(time.Now(), t)
	res.complete = true
	return res, &bufferedAnswer{
		status: a.Status, header: f.relay.protocol.Answer(a.Header), body: body, endpoint: &t.choice.Endpoint,
	}, nil
}

// call returns the request to send in an attempt.
func (f *inflight) call(t *trackedAttempt) *upstream.Call {
	attempt := &Attempt{
		Endpoint:  t.choice.Endpoint,
		Workspace: f.outcome.Workspace,
		Priority:  f.priority,
		LastEvent: f.events.Last(),
		FetchFrom: t.choice.FetchFrom,
	}
	c := &upstream.Call{
		Address: t.choice.Endpoint.Address, Deliveries: f.sink.Deliveries(), To: string(t.choice.Endpoint.ID),
		Method: f.request.Method,
		Target: f.request.Target,
		Host:   f.request.Host,
		Header: func() http.Header {
			attempt.TimeLeft = time.Until(f.deadline)
			return f.relay.protocol.Header(f.request, attempt)
		},
		Body: f.request.Body,
		Gate: f,
		ID:   f.request.ID,
		Owns: f.relay.protocol.Owns(f.request),
	}
	f.requireRun(time.Now(), c, &t.choice.Endpoint)
	canRetry := f.route.Repeatable() && f.tally.ran+1 < f.route.MaxAttempts
	c.SilenceTimeout = stallTimeout(canRetry, f.outcome.Predicted)
	if canRetry && f.route.Kind == route.Idempotent {
		c.HeadTimeout = max(time.Until(f.deadline)/2, f.route.Target)
	}
	return c
}

// firstPiece records that the first piece of an attempt's answer arrived.
func (f *inflight) firstPiece(now time.Time, t *trackedAttempt) {
	if t.firstPieceAt.IsZero() {
		t.firstPieceAt = now
		if !t.forwarded {
			f.relay.state.firstPiece(t)
			f.relay.guard.Responded(&t.choice.Endpoint, t.sent)
		}
		if f.outcome.First == 0 {
			f.outcome.First = time.Since(f.request.Received)
		}
	}
}

// noteStated records the limits that an answer states. A rest is asked of the daemon that sent the request to the
// endpoint.
func (f *inflight) noteStated(t *trackedAttempt, s backpressure.Stated) {
	if t.forwarded {
		s.Rest = 0
	}
	rate, brittle, leaves := f.relay.state.noteStated(time.Now(), t, s)
	if rate {
		f.relay.observer.RateLimited(t.choice.Endpoint.ID, s.RateLimit)
	}
	if s.Rest > 0 {
		f.relay.observer.Resting(t.choice.Endpoint.ID, s.Rest)
	}
	if leaves {
		f.relay.observer.Leaving(&t.choice.Endpoint)
	}
	if brittle {
		f.relay.observer.RejectionsLimited(t.choice.Endpoint.Service, s.RejectionLimit)
	}
}

// reportBegan notifies the observer, once, that an endpoint began to run the
// request.
func (f *inflight) reportBegan(at time.Time) {
	if !f.beganReported && f.workspace != nil {
		f.beganReported = true
		f.relay.observer.Began(f.workspace.Name, at)
	}
}
