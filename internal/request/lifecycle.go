package request

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// maxAvoid bounds the endpoints a request remembers as bad; the oldest is
// forgotten first, since it has had the longest to recover.
const maxAvoid = 8

// Lifecycle decides one request from its acceptance to its end. An idempotent
// request that lost its stream is continued on another engine; a
// non-idempotent one leaves this process at most once and is only resumed
// after that. Make one with NewLife or Adopt.
type Lifecycle struct {
	spec   Spec
	policy Policy
	budget Budget
	answer Assembly

	phase          phase
	attempt        uint32
	charged        int // dispatches that count towards MaxAttempts
	resumes        int // in a row without a new piece
	unproven       int // dispatches that are not proved to be not run
	accepted       bool
	dispatchedHere bool // this Life made the newest dispatch itself

	endpoint fleet.EndpointID
	stream   string
	leaveAt  time.Time // of endpoint, zero without a notice
	moveTo   fleet.EndpointID
	avoid    []fleet.EndpointID

	// uncharged: the endpoint was lost to a notice, so carrying on is neither
	// charged nor bounded by attempts until the answer grows again.
	uncharged    bool
	redispatched bool // a dispatch has been made since announced

	lastProgress time.Time // start of the phase or the newest piece
	retryAt      time.Time // end of waiting
	pauses       int

	frozen          bool
	deferredFailure *Failure // what failed while held
}

// NewLifecycle returns the life of a request that has not been dispatched.
func NewLifecycle(spec Spec, policy Policy, budget Budget) *Lifecycle {
	return &Lifecycle{spec: spec, policy: policy, budget: budget}
}

// Spec returns what the request asked for.
func (l *Lifecycle) Spec() Spec { return l.spec }

// Answer returns the answer so far; read only.
func (l *Lifecycle) Answer() *Assembly { return &l.answer }

// Ended reports whether the life needs nothing more.
func (l *Lifecycle) Ended() bool { return l.phase == ended }

// Attempt returns the newest attempt's number.
func (l *Lifecycle) Attempt() uint32 { return l.attempt }

// Endpoint returns the endpoint that runs the request, empty where none is known to.
func (l *Lifecycle) Endpoint() fleet.EndpointID { return l.endpoint }

// Stream returns the engine's stream id, empty before it is known.
func (l *Lifecycle) Stream() string { return l.stream }

// Verdict returns what could be said if the request ended now.
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

// Start asks for the first dispatch.
func (l *Lifecycle) Start(now time.Time) []Action {
	if l.phase != idle {
		return nil
	}
	return l.dispatch(now, "", "")
}

// Accepted says that the caller has been told that the request is accepted.
func (l *Lifecycle) Accepted(time.Time) { l.accepted = true }

// Dispatched says which endpoint was chosen for attempt.
func (l *Lifecycle) Dispatched(_ time.Time, attempt uint32, endpoint fleet.EndpointID) {
	if attempt == l.attempt && l.phase == dispatching {
		l.endpoint = endpoint
	}
}

// Opened says that the endpoint answers attempt, with its stream id where it
// has one. A stream that nobody waits for any more is cancelled.
func (l *Lifecycle) Opened(now time.Time, attempt uint32, endpoint fleet.EndpointID, stream string) []Action {
	if attempt != l.attempt || l.phase == ended {
		return l.cancelAbandoned(endpoint, stream)
	}
	l.endpoint, l.stream = endpoint, stream
	l.phase = streaming
	l.lastProgress = now
	return nil
}

// cancelAbandoned cancels the stream of an abandoned dispatch, but not of a
// non-idempotent request (see cancelStream).
func (l *Lifecycle) cancelAbandoned(endpoint fleet.EndpointID, stream string) []Action {
	if stream == "" || stream == l.stream || l.spec.NonIdempotent {
		return nil
	}
	return []Action{CancelStream{Endpoint: endpoint, Stream: stream}}
}

// Piece takes a token of the answer. It allocates nothing for the next token in order.
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

// pieceAppended forgets the failures before the newest piece.
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

// Done takes attempt's end with the answer's length in tokens.
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

// Cancel ends the request because its caller asks for it.
func (l *Lifecycle) Cancel(time.Time) []Action {
	if l.phase == ended {
		return nil
	}
	return l.giveUp(Cancelled, Reset, 0)
}

// dispatch opens a new attempt, on endpoint to where one is named.
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

// resume opens the engine's stream again. It gets a number of its own so that
// a late failure of the connection it replaces is not taken for its own.
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

// giveUp ends the request at once: an answer held back until the deadline
// would only keep the caller from trying elsewhere.
func (l *Lifecycle) giveUp(why Reason, cause FailureKind, retryAfter time.Duration) []Action {
	if retryAfter == 0 && (why == BudgetSpent || why == NoEndpointFound) {
		retryAfter = l.policy.MaxPause
	}
	out := l.cancelStream(nil)
	l.phase = ended
	return append(out, Fail{Verdict: l.Verdict(), Reason: why, Cause: cause, RetryAfter: retryAfter})
}

// cancelStream leaves a non-idempotent request's stream alone: to stop it
// half-way is worse than to let it end.
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
