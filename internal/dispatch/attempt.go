package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// attempt describes a dispatch to an engine.
type attempt struct {
	number   uint32
	endpoint fleet.EndpointID // empty: the router chooses
	avoid    []fleet.EndpointID
	text     []string // tokens generated so far
	kv       string   // imported blob that covers prompt and text
}

// startAttempt dispatches in the background. Called with r.mu held.
func (r *run) startAttempt(a attempt) {
	a.avoid = append([]fleet.EndpointID(nil), a.avoid...) // the slice is only valid until the next event
	ctx := r.newAttemptContext()
	go r.dispatch(ctx, a)
}

// newAttemptContext returns the context of a new attempt and cancels that of the
// previous one. Called with r.mu held.
func (r *run) newAttemptContext() context.Context {
	if r.cancel != nil {
		r.cancel()
	}
	ctx, cancel := context.WithCancel(r.d.ctx)
	r.cancel = cancel
	return ctx
}

// maxDials bounds the endpoints that one attempt tries to connect to. If half of
// the endpoints are gone, sixteen failures in a row have a probability of 1 in
// 65,000.
const maxDials = 16

// dispatch sends the attempt to the first endpoint that accepts a connection. A
// failed dial proves that nothing was sent and is cheap, so the same attempt
// goes on to the next endpoint. Otherwise, when many endpoints disappear at once
// without notice, an accepted request would use up its attempts on dead
// endpoints while others are alive.
func (r *run) dispatch(ctx context.Context, a attempt) {
	q := r.route
	q.Exclude = a.avoid
	for dials := 1; ; dials++ {
		if err := r.checkQuarantine(); err != nil {
			r.applyFailure(a.number, err)
			return
		}
		choice, err := r.choose(a, &q)
		if err != nil {
			r.applyFailure(a.number, &AttemptError{Kind: request.NoEndpoint, Verdict: verdict.NotRun, Err: err})
			return
		}
		if choice.PredictedFirstToken > maxPredictedFirstToken && r.mayRefuse() {
			r.applyFailure(a.number, errTooLate)
			return
		}
		if dials == 1 {
			r.observeAttempt(a)
		}
		err = r.tryEndpoint(ctx, a, &q, choice)
		if err == nil {
			return
		}
		if failureOf(a.number, err).Kind != request.Dial || a.endpoint != "" || dials == maxDials {
			r.attemptFailed(ctx, a.number, choice.Endpoint, err)
			return
		}
		if ctx.Err() != nil {
			return // superseded by another attempt
		}
		r.endpointFailed(a.number, choice.Endpoint, err)
		q.Exclude = append(q.Exclude, choice.Endpoint)
	}
}

// tryEndpoint sends the attempt to an endpoint and reads the answer to its end.
// It returns an error only if the endpoint did not begin to answer.
func (r *run) tryEndpoint(ctx context.Context, a attempt, q *routing.Request, choice routing.Choice) error {
	router := r.d.opts.Router
	router.Dispatched(choice.Endpoint, q, choice)
	outcome := routing.Failed
	defer func() { router.Finished(choice.Endpoint, r.ref.ID, outcome) }()
	r.apply(func(now time.Time) []request.Action {
		r.life.Dispatched(now, a.number, choice.Endpoint)
		return nil
	})
	s := &sentAttempt{number: a.number, endpoint: choice.Endpoint, address: choice.Address, at: time.Now()}
	c := r.completion
	c.Continue, c.KV = a.text, a.kv
	stream, err := r.d.opts.Engines.Start(ctx, choice.Address, &c, r.ref.ID, StartOptions{
		Priority:   q.Priority,
		AtMostOnce: r.life.Spec().NonIdempotent,
	})
	if err != nil {
		r.reportCut(ctx, s, err)
		return err
	}
	defer stream.Close()
	router.Connected(choice.Endpoint)
	outcome = r.read(ctx, s, stream)
	return nil
}

func (r *run) observeAttempt(a attempt) {
	switch {
	case a.kv != "":
		r.d.opts.Observer.Attempt("move")
	case len(a.text) > 0:
		r.d.opts.Observer.Attempt("continue")
		r.d.opts.Observer.Recomputed(len(a.text))
	default:
		r.d.opts.Observer.Attempt("dispatch")
	}
}

// maxPredictedFirstToken is the predicted time to the first token, at the best
// endpoint, above which a new request is refused. It is above the latency target
// of 1.5 s because predictions are inexact, and because admission already bounds
// the queues at the endpoints: this check covers what admission missed.
const maxPredictedFirstToken = 2 * time.Second

// errTooLate refuses a request that even the best endpoint would answer far too
// late. Accepting it would delay those behind it as well.
var errTooLate = &AttemptError{
	Kind:       request.NoEndpoint,
	Verdict:    verdict.NotRun,
	RetryAfter: time.Second,
	Err:        errors.New("every endpoint would answer too late"),
}

// mayRefuse reports whether the request can still be refused, which it can until
// it is accepted.
func (r *run) mayRefuse() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.accepted
}

// choose asks the router, unless the attempt names its endpoint.
func (r *run) choose(a attempt, q *routing.Request) (routing.Choice, error) {
	if a.endpoint == "" {
		return r.d.opts.Router.Pick(q)
	}
	address, ok := r.d.opts.Router.Address(a.endpoint)
	if !ok {
		return routing.Choice{}, routing.NoEndpoint{Cause: routing.NotServed}
	}
	return routing.Choice{Endpoint: a.endpoint, Address: address, PredictedCachedTokens: q.PromptTokens}, nil
}

// resume reopens an engine's stream in the background. Called with r.mu held.
func (r *run) resume(a request.ResumeStream) {
	ctx := r.newAttemptContext()
	begunAt := r.firstAt
	go func() {
		address, ok := r.d.opts.Router.Address(a.Endpoint)
		if !ok {
			r.applyFailure(a.Attempt, &AttemptError{Kind: request.NotFound, Err: errors.New("endpoint not listed")})
			return
		}
		r.d.opts.Observer.Attempt("resume")
		if a.Replace {
			r.d.opts.Router.Stalled(a.Endpoint)
		}
		s := &sentAttempt{number: a.Attempt, endpoint: a.Endpoint, address: address, at: time.Now(), firstAt: begunAt}
		stream, err := r.d.opts.Engines.Resume(ctx, address, a.Stream, a.From, a.Replace)
		if err != nil {
			r.attemptFailed(ctx, a.Attempt, a.Endpoint, err)
			return
		}
		defer stream.Close()
		r.d.opts.Router.Connected(a.Endpoint)
		r.read(ctx, s, stream)
	}()
}

// read reads the pieces of an open stream until it ends.
func (r *run) read(ctx context.Context, s *sentAttempt, stream Stream) routing.Outcome {
	r.apply(func(now time.Time) []request.Action {
		r.markAccepted(now)
		return r.life.Opened(now, s.number, s.endpoint, stream.ID())
	})
	first := true
	for {
		p, err := stream.Next()
		if err != nil {
			if ctx.Err() != nil {
				return routing.Cancelled // superseded by another attempt
			}
			r.reportCut(ctx, s, err)
			r.attemptFailed(ctx, s.number, s.endpoint, err)
			return routing.Failed
		}
		if p.Done {
			r.reportRan(s)
			r.receiveEnd(s.number, p)
			return routing.Answered
		}
		if first {
			first = false
			r.d.opts.Router.FirstToken(s.endpoint, r.ref.ID)
		}
		r.reportPiece(s)
		r.receivePiece(s.number, p)
	}
}

func (r *run) receivePiece(number uint32, p engineapi.Piece) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	result, actions := r.life.Piece(now, number, p.Offset, p.Text)
	if result == request.Appended {
		if r.firstAt.IsZero() {
			r.firstAt, r.firstLen = now, r.life.Answer().Len()
		}
		r.wake()
	}
	if now.Sub(r.lastExtended) > extendInterval {
		r.lastExtended = now
		r.d.opts.Admission.Extend(r.ref.ID)
	}
	if len(actions) > 0 {
		r.perform(actions)
	}
}

func (r *run) receiveEnd(number uint32, p engineapi.Piece) {
	r.apply(func(now time.Time) []request.Action {
		if p.Usage != nil {
			r.usage = *p.Usage
		}
		return r.life.Done(now, number, p.Offset)
	})
}

// attemptFailed reports a failed attempt to the router, the observer and the
// lifecycle. An attempt that was cancelled is ignored: another one has superseded it,
// and its endpoint may be healthy.
func (r *run) attemptFailed(ctx context.Context, number uint32, endpoint fleet.EndpointID, err error) {
	if ctx.Err() != nil {
		return
	}
	r.endpointFailed(number, endpoint, err)
	r.applyFailure(number, err)
}

// endpointFailed reports a failed attempt to the router and the observer.
func (r *run) endpointFailed(number uint32, endpoint fleet.EndpointID, err error) {
	f := failureOf(number, err)
	r.d.opts.Observer.AttemptFailed(f.Kind.String())
	switch f.Kind {
	case request.Dial:
		r.d.opts.Router.DialFailed(endpoint)
	case request.Silent:
		r.d.opts.Router.Stalled(endpoint)
	}
	r.d.opts.Log.WithField("request", r.ref.ID).WithField("endpoint", endpoint).Infof("attempt %d failed: %v", number, err)
}

func (r *run) applyFailure(number uint32, err error) {
	r.apply(func(now time.Time) []request.Action { return r.life.Failed(now, failureOf(number, err)) })
}
