package request

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// maxAvoid limits the endpoints that a request avoids. The oldest is removed
// first, since it had the most time to recover.
const maxAvoid = 8

// Lifecycle is the state machine of one request, from its acceptance to its end.
// An idempotent request whose stream is lost is continued on another engine. A
// non-idempotent one is sent at most once; after that its stream can only be
// resumed. NewLifecycle and Adopt create one.
type Lifecycle struct {
	spec   Spec
	policy Policy
	budget Budget
	answer Assembly

	phase          phase
	attempt        uint32
	charged        int  // retries that count towards MaxAttempts
	resumes        int  // consecutive ones without a new piece
	unproven       int  // dispatches without proof that they did not run
	accepted       bool // the caller has been informed that the request is accepted
	dispatchedHere bool // the newest dispatch was made by this daemon

	endpoint fleet.EndpointID
	stream   string
	leaveAt  time.Time        // when endpoint leaves, zero without a notice
	moveTo   fleet.EndpointID // target of an export in progress
	avoid    []fleet.EndpointID

	// uncharged: the request has to move because its endpoint or daemon leaves.
	// Until the answer grows again, dispatches are neither charged to the retry
	// budget nor limited by MaxAttempts.
	uncharged    bool
	redispatched bool // a dispatch has been made since uncharged was set

	lastProgress time.Time // start of the phase, or time of the newest piece
	retryAt      time.Time // end of the waiting phase
	pauses       int       // consecutive waiting phases, for the backoff

	frozen          bool
	deferredFailure *Failure // a failure while frozen, handled by Unfreeze
}

// NewLifecycle returns the state machine of a request that has not been
// dispatched.
func NewLifecycle(spec Spec, policy Policy, budget Budget) *Lifecycle {
	return &Lifecycle{spec: spec, policy: policy, budget: budget}
}

// Spec returns the request's specification.
func (l *Lifecycle) Spec() Spec { return l.spec }

// Answer returns the answer so far, which must not be changed.
func (l *Lifecycle) Answer() *Assembly { return &l.answer }

// Ended reports whether the request has ended on this daemon.
func (l *Lifecycle) Ended() bool { return l.phase == ended }

// Attempt returns the number of the newest attempt.
func (l *Lifecycle) Attempt() uint32 { return l.attempt }

// Endpoint returns the endpoint that runs the request, empty if none is known.
func (l *Lifecycle) Endpoint() fleet.EndpointID { return l.endpoint }

// Stream returns the engine's stream id, empty before it is known.
func (l *Lifecycle) Stream() string { return l.stream }

// Verdict returns the verdict if the request ended now.
func (l *Lifecycle) Verdict() verdict.Verdict {
	switch {
	case l.answer.Complete():
		return verdict.Ran
	case l.unproven == 0:
		return verdict.NotRun
	default:
		return verdict.MayHaveRun
	}
}

// Start starts the first attempt.
func (l *Lifecycle) Start(now time.Time) []Action {
	if l.phase != idle {
		return nil
	}
	return l.dispatch(now, "", "")
}

// Accepted records that the caller was informed of the request's acceptance.
func (l *Lifecycle) Accepted(time.Time) { l.accepted = true }

// Dispatched records the endpoint that was selected for attempt.
func (l *Lifecycle) Dispatched(_ time.Time, attempt uint32, endpoint fleet.EndpointID) {
	if attempt == l.attempt && l.phase == dispatching {
		l.endpoint = endpoint
	}
}

// Opened handles the start of an endpoint's answer to attempt. stream is the
// engine's stream id, or empty. The stream of an abandoned attempt is cancelled.
func (l *Lifecycle) Opened(now time.Time, attempt uint32, endpoint fleet.EndpointID, stream string) []Action {
	if attempt != l.attempt || l.phase == ended {
		return l.cancelAbandoned(endpoint, stream)
	}
	l.endpoint, l.stream = endpoint, stream
	l.phase = streaming
	l.lastProgress = now
	return nil
}

// cancelAbandoned cancels the stream of an abandoned attempt, except for a
// non-idempotent request (see cancelStream).
func (l *Lifecycle) cancelAbandoned(endpoint fleet.EndpointID, stream string) []Action {
	if stream == "" || stream == l.stream || l.spec.NonIdempotent {
		return nil
	}
	return []Action{CancelStream{Endpoint: endpoint, Stream: stream}}
}

// Piece handles a token of the answer. It does not allocate for a token that is
// the next one in order, except to grow the answer's buffers.
func (l *Lifecycle) Piece(now time.Time, attempt uint32, offset int, text string) (Result, []Action) {
	if l.phase == ended || attempt > l.attempt {
		return Stale, nil
	}
	r := l.answer.Add(attempt, offset, text)
	switch r {
	case Appended:
		l.pieceAppended(now)
	case Gap:
		return r, l.Failed(now, Failure{Attempt: attempt, Kind: Reset})
	case Diverged:
		return r, l.Failed(now, Failure{Attempt: attempt, Kind: Contradiction})
	case Overflow:
		return r, l.giveUp(TooLarge, Contradiction, 0)
	}
	return r, nil
}

// pieceAppended records progress and resets the counts of failures before it.
func (l *Lifecycle) pieceAppended(now time.Time) {
	l.lastProgress = now
	l.resumes = 0
	if l.phase == dispatching || l.phase == resuming {
		l.phase = streaming
	}
	if l.redispatched {
		l.uncharged, l.redispatched, l.pauses = false, false, 0
	}
}

// Done handles the end of attempt, which states the answer's length in tokens.
func (l *Lifecycle) Done(now time.Time, attempt uint32, length int) []Action {
	if l.phase == ended || attempt > l.attempt {
		return nil
	}
	switch l.answer.Done(attempt, length) {
	case Complete:
		l.phase = ended
		l.budget.Success(now)
		return []Action{Finish{Length: length}}
	case Gap:
		return l.Failed(now, Failure{Attempt: attempt, Kind: Reset})
	case Diverged:
		return l.Failed(now, Failure{Attempt: attempt, Kind: Contradiction})
	}
	return nil
}

// Cancel ends the request at its caller's request.
func (l *Lifecycle) Cancel(time.Time) []Action {
	if l.phase == ended {
		return nil
	}
	return l.giveUp(Cancelled, Reset, 0)
}

// dispatch starts a new attempt, on endpoint to unless that is empty.
func (l *Lifecycle) dispatch(now time.Time, to fleet.EndpointID, kv string) []Action {
	l.beginAttempt(now, dispatching)
	l.unproven++
	l.dispatchedHere = true
	l.redispatched = l.uncharged
	l.endpoint, l.stream, l.leaveAt = to, "", time.Time{}
	if l.answer.Len() == 0 && to == "" {
		return []Action{Dispatch{Attempt: l.attempt, Avoid: slices.Clone(l.avoid)}}
	}
	return []Action{Continue{Attempt: l.attempt, Endpoint: to, Avoid: slices.Clone(l.avoid), From: l.answer.Len(), KV: kv}}
}

// resume opens the engine's stream again. It has an attempt number of its own, so
// that a late failure of the replaced connection is not attributed to it.
func (l *Lifecycle) resume(now time.Time, replace bool) []Action {
	l.resumes++
	l.beginAttempt(now, resuming)
	return []Action{ResumeStream{
		Attempt: l.attempt, Endpoint: l.endpoint, Stream: l.stream, From: l.answer.Len(), Replace: replace,
	}}
}

func (l *Lifecycle) beginAttempt(now time.Time, p phase) {
	l.attempt++
	l.answer.Begin(l.attempt)
	l.phase = p
	l.lastProgress = now
}

// giveUp ends the request immediately: delaying the failure until the deadline
// would only keep the caller from retrying elsewhere.
func (l *Lifecycle) giveUp(why Reason, cause FailureKind, retryAfter time.Duration) []Action {
	if retryAfter == 0 && (why == BudgetSpent || why == NoEndpointFound) {
		retryAfter = l.policy.MaxPause
	}
	out := l.cancelStream(nil)
	l.phase = ended
	return append(out, Fail{Verdict: l.Verdict(), Reason: why, Cause: cause, RetryAfter: retryAfter})
}

// cancelStream adds the cancellation of the current stream to out, except for a
// non-idempotent request: interrupting it is worse than letting it end.
func (l *Lifecycle) cancelStream(out []Action) []Action {
	if l.stream == "" || l.spec.NonIdempotent {
		return out
	}
	return append(out, CancelStream{Endpoint: l.endpoint, Stream: l.stream})
}

func (l *Lifecycle) avoidEndpoint(e fleet.EndpointID) {
	if e == "" || slices.Contains(l.avoid, e) {
		return
	}
	if len(l.avoid) == maxAvoid {
		l.avoid = slices.Delete(l.avoid, 0, 1)
	}
	l.avoid = append(l.avoid, e)
}
