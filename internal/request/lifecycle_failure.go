package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Failed handles the end of an attempt without a complete answer. Failures of
// older attempts are ignored.
func (l *Lifecycle) Failed(now time.Time, f Failure) []Action {
	if l.phase == ended || l.phase == moving || f.Attempt != l.attempt {
		return nil
	}
	if l.phase == dispatching && f.provesNotRun() {
		l.unproven--
	}
	if l.frozen {
		l.deferredFailure = &f
		l.phase = waiting
		return nil
	}
	return l.handleFailure(now, f)
}

func (f Failure) provesNotRun() bool {
	return f.Verdict == verdict.NotRun || f.Kind.nothingSent()
}

func (l *Lifecycle) handleFailure(now time.Time, f Failure) []Action {
	if l.canResume(now, f.Kind) {
		return l.resume(now, f.Kind == Silent)
	}
	return l.retry(now, f)
}

// canResume reports whether the engine may still have the stream and another
// resume is allowed.
func (l *Lifecycle) canResume(now time.Time, k FailureKind) bool {
	if l.stream == "" || l.resumes >= l.policy.MaxResumes {
		return false
	}
	if !l.leaveAt.IsZero() && !now.Before(l.leaveAt) {
		return false
	}
	return k == Reset || k == Dial || k == Silent || k == Unavailable
}

// retry dispatches the request to another endpoint, waits, or gives up.
func (l *Lifecycle) retry(now time.Time, f Failure) []Action {
	l.avoidEndpoint(l.endpoint)
	if f.Kind == EngineLeaving {
		l.uncharged = true
	}
	if why, stop := l.mustStop(now, f); stop {
		return l.giveUp(why, f.Kind, f.RetryAfter)
	}
	out := l.cancelStream(nil)
	l.stream = ""
	if f.Kind == NoEndpoint || l.redispatched {
		l.wait(now)
		return out
	}
	return append(out, l.dispatch(now, "", "")...)
}

// mustStop returns whether to give up, and the reason. If not, it charges the
// retry that it allows.
func (l *Lifecycle) mustStop(now time.Time, f Failure) (Reason, bool) {
	switch {
	case l.spec.NonIdempotent && (l.unproven > 0 || !f.Kind.nothingSent()):
		return NotRepeatable, true
	case f.Kind == Quarantined:
		return CrashesEngines, true
	case !now.Before(l.spec.Deadline.Add(-l.policy.DeadlineMargin)):
		return DeadlinePassed, true
	case f.Kind == NoEndpoint:
		return NoEndpointFound, !l.accepted
	case l.uncharged:
		return 0, false
	case l.charged+1 >= l.policy.MaxAttempts:
		return AttemptsSpent, true
	case !l.budget.Take(now):
		return BudgetSpent, true
	}
	l.charged++
	return 0, false
}

// wait delays the next attempt with exponential backoff. A request displaced by an
// announced reclaim is not given up before its deadline, and must not be retried
// in a tight loop while no endpoint has capacity.
func (l *Lifecycle) wait(now time.Time) {
	pause := min(l.policy.MinPause<<min(l.pauses, 16), l.policy.MaxPause)
	l.pauses++
	l.phase = waiting
	l.endpoint = ""
	l.retryAt = now.Add(pause)
}

// Tick handles the deadline, the timeouts and the end of a wait. It is to be
// called at the time that Next returns.
func (l *Lifecycle) Tick(now time.Time) []Action {
	switch {
	case l.phase == ended || l.phase == idle:
		return nil
	case !now.Before(l.spec.Deadline):
		return l.giveUp(DeadlinePassed, Silent, 0)
	case now.Before(l.Next()):
		return nil
	case l.phase == waiting:
		return l.dispatch(now, "", "")
	case l.phase == moving:
		return l.MoveFailed(now, l.attempt)
	}
	return l.Failed(now, Failure{Attempt: l.attempt, Kind: Silent})
}

// Next returns when Tick has to be called next, zero for never.
func (l *Lifecycle) Next() time.Time {
	var at time.Time
	switch l.phase {
	case idle, ended:
		return time.Time{}
	case dispatching:
		at = l.lastProgress.Add(l.policy.DispatchTimeout)
	case moving:
		at = l.lastProgress.Add(l.policy.MoveTimeout)
	case waiting:
		at = l.retryAt
		if l.frozen {
			at = l.spec.Deadline
		}
	default:
		at = l.lastProgress.Add(l.policy.ProgressTimeout)
	}
	if l.spec.Deadline.Before(at) {
		return l.spec.Deadline
	}
	return at
}
