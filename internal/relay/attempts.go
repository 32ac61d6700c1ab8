package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// trackedAttempt is an attempt in progress as the shared state records it.
type trackedAttempt struct {
	inflight     *inflight
	choice       balance.Choice
	sent         time.Time
	firstPieceAt time.Time     // when the first piece of the answer arrived, zero before
	eventSentAt  time.Time     // when the caller had taken the last event, zero before the first
	longestPause time.Duration // in which the endpoint sent no event
	ranReported  bool          // the guard was notified that the endpoint ran the request
	forwarded    bool          // through another daemon, which records it
	version      string        // of the endpoint, if the other daemon states it
	versionKnown bool
	abort        context.CancelCauseFunc
	run          eventRun // used by the stream's goroutine only
	eventless    eventless
	// silenceTimeout is how long the endpoint may send nothing, and a stream no event among its bytes.
	silenceTimeout time.Duration
	// waitsAfter is the time after sent, in nanoseconds, since when the stream has waited for its
	// next event; 0 before the first one and while events are written to the caller.
	waitsAfter atomic.Int64
	// counter counts the attempt for a roll-out, nil without one; toNew says that
	// it goes to the new version.
	counter *rollout.Counter
	toNew   bool
}

// eventArrived records an event of the endpoint. The time before the caller has taken the
// previous one is no pause, since the endpoint could not send, nor is one in which this process
// was held up.
func (t *trackedAttempt) eventArrived(now, heldUpUntil time.Time) {
	if !t.eventSentAt.IsZero() && !heldUpUntil.After(t.eventSentAt) {
		t.longestPause = max(t.longestPause, now.Sub(t.eventSentAt))
	}
}

// errRestarted ends attempts at an endpoint that has restarted.
var errRestarted = errs.New("the endpoint has started again")

// restartOf returns why attempts at an endpoint end, nil if its newest entry describes the same
// run. Without start times, another version shows another run.
func restartOf(e, newest *roster.Endpoint) error {
	otherVersion := e.Version != newest.Version
	switch {
	case otherVersion && (e.RestartedAs(newest) || e.StartedAt.IsZero()):
		return errOtherVersion
	case e.RestartedAs(newest):
		return errRestarted
	default:
		return nil
	}
}

// pick chooses an endpoint for a request, or returns a refusal if there is none.
func (s *State) pick(now time.Time, f *inflight) (balance.Choice, *Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	choice, ok := s.pickAllowed(now, f)
	if !ok {
		return choice, s.refuseUnplaced(now, f)
	}
	if overloadWait(f, choice, now) > 0 {
		if soonest, ok := s.balancer.PickSoonest(now, f.balanceReq); ok {
			choice = soonest
		}
	}
	if !f.workCounted {
		f.workCounted = true
		if counter := s.rollouts.counters[f.service]; counter != nil {
			counter.CountRequest()
		}
		s.work.countRequest(f.service, f.balanceReq.Output, f.balanceReq.Prompt, max(f.balanceReq.Prompt-choice.Cached, 0))
	}
	if wait := overloadWait(f, choice, now); wait > 0 {
		s.work.countRefused(f.service)
		return choice, notRun(Overloaded, jitter(wait, s.rng.Float64()))
	}
	s.balancer.Reserve(now, choice)
	return choice, nil
}

// refuseUnplaced refuses a request that no endpoint can take. The lock is held.
func (s *State) refuseUnplaced(now time.Time, f *inflight) *Refusal {
	if wait, limited := s.balancer.LimitWait(now, f.balanceReq); limited {
		s.work.countRefused(f.service)
		return notRun(Overloaded, jitter(wait, s.rng.Float64()))
	}
	return notRun(NoEndpoint, jitter(noEndpointRetryAfter, s.rng.Float64()))
}

// overloadWait returns 0 if a request is worth an attempt. A request that would
// miss its target by far even at the best endpoint isn't: a late answer is worth a
// tenth of one in time and takes its place. For it overloadWait returns the time
// after which it could be served. The time that the caller took to send the request
// doesn't count. Requests of lower priority are refused earlier; a request without a
// target is always worth an attempt.
func overloadWait(f *inflight, c balance.Choice, now time.Time) time.Duration {
	if f.tally.reached > 0 || f.headSent || f.continuation.begun || f.route.Target <= 0 {
		return 0
	}
	limit := f.route.Target
	if f.priority == 0 {
		limit += limit / 2
	}
	wait := time.Duration(c.Wait * float64(time.Second))
	if now.Add(wait).Sub(f.request.complete()) <= limit {
		return 0
	}
	return max(wait-limit/2, noEndpointRetryAfter)
}

// noEndpointRetryAfter is the retry delay if endpoints are missing or busy: the
// list of endpoints is at most some hundred milliseconds old.
const noEndpointRetryAfter = 250 * time.Millisecond

// refuseBusy refuses a request that endpoints did not accept.
func (s *State) refuseBusy(f *inflight, reason Reason) *Refusal {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.work.countRefused(f.service)
	if wait, limited := s.balancer.LimitWait(time.Now(), f.balanceReq); reason == Shed && limited {
		return notRun(reason, jitter(wait, s.rng.Float64()))
	}
	return notRun(reason, jitter(noEndpointRetryAfter, s.rng.Float64()))
}

func (s *State) takeRetry(now time.Time, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retries.Take(now, service)
}

func (s *State) sent(t *trackedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.Sent(t.inflight.balanceReq, t.choice)
	s.countSent(t)
	id := t.choice.Endpoint.ID
	if s.attempts[id] == nil {
		s.attempts[id] = map[*trackedAttempt]struct{}{}
	}
	s.attempts[id][t] = struct{}{}
}

func (s *State) firstPiece(t *trackedAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.FirstToken(t.inflight.balanceReq, t.choice, time.Since(t.sent).Seconds())
}

func (s *State) done(now time.Time, t *trackedAttempt, o balance.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.balancer.ObservePause(now, t.choice, t.longestPause, t.inflight.balanceReq.PauseTarget)
	s.balancer.Done(now, t.inflight.balanceReq, t.choice, !t.firstPieceAt.IsZero(), o)
	s.countDone(now, t, o)
	id := t.choice.Endpoint.ID
	delete(s.attempts[id], t)
	if len(s.attempts[id]) == 0 {
		delete(s.attempts, id)
	}
}

// anyRest reports whether an endpoint that a request may go to wants no requests.
func (s *State) anyRest(f *inflight) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.AnyRest(time.Now(), f.balanceReq)
}

// mostRest reports whether most endpoints that a request may go to want no requests.
func (s *State) mostRest(f *inflight) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.balancer.MostRest(time.Now(), f.balanceReq)
}
