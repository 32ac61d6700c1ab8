package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Freeze freezes the request for a transfer and returns what the successor
// needs. Until Unhold no new attempt starts: the successor may hold the
// request already. Pieces of the running one are still taken.
//
// It reports false for a request that must not move now: one that has ended,
// an export under way, and a dispatch that has not been answered, whose stream
// the successor could not resume. With urgent set, an idempotent request moves
// in spite of an unanswered dispatch.
func (l *Lifecycle) Freeze(_ time.Time, urgent bool) (Snapshot, bool) {
	switch l.phase {
	case ended, moving:
		return Snapshot{}, false
	case dispatching:
		if !urgent || l.spec.NonIdempotent {
			return Snapshot{}, false
		}
	}
	l.frozen = true
	return l.snapshot(), true
}

func (l *Lifecycle) snapshot() Snapshot {
	s := Snapshot{Spec: l.spec, Attempt: l.attempt, MayHaveRun: l.unproven > 0, Generated: l.answer.Tokens(0)}
	if l.stream != "" {
		s.Endpoint, s.Stream = l.endpoint, l.stream
	}
	return s
}

// Unfreeze says that no successor has the request: it goes on here, with
// whatever failed meanwhile.
func (l *Lifecycle) Unfreeze(now time.Time) []Action {
	if !l.frozen || l.phase == ended {
		return nil
	}
	l.frozen = false
	if f := l.deferredFailure; f != nil {
		l.deferredFailure = nil
		return l.handleFailure(now, *f)
	}
	return nil
}

// Released ends the life here because daemon to holds the request now.
func (l *Lifecycle) Released(_ time.Time, to fleet.DaemonID) []Action {
	if l.phase == ended {
		return nil
	}
	l.phase = ended
	return []Action{Transfer{To: to}}
}

// Withdrawn ends the life here because daemon to holds the request under a
// higher transfer number. A stream of this life's own dispatch is cancelled:
// the other holder doesn't know it.
func (l *Lifecycle) Withdrawn(now time.Time, to fleet.DaemonID) []Action {
	if l.phase == ended {
		return nil
	}
	var out []Action
	if l.dispatchedHere && !l.spec.NonIdempotent {
		out = l.cancelStream(out)
	}
	return append(out, l.Released(now, to)...)
}

// OutcomeUnknown ends the life here because the successor's answer never came and the
// successor may have run it.
func (l *Lifecycle) OutcomeUnknown(time.Time) []Action {
	if l.phase == ended {
		return nil
	}
	l.phase = ended
	return []Action{Fail{Verdict: verdict.MayHaveRun, Reason: HandoverUnanswered, Cause: Silent}}
}

// Adopt carries on a request that another daemon handed over. The engine's
// stream is resumed where there is one; a new dispatch is made only where that
// cannot run a non-idempotent request twice.
func Adopt(now time.Time, s Snapshot, p Policy, b Budget) (*Lifecycle, []Action) {
	l := NewLifecycle(s.Spec, p, b)
	l.accepted = true
	l.attempt = s.Attempt
	l.endpoint, l.stream = s.Endpoint, s.Stream
	if s.MayHaveRun {
		l.unproven = 1
	}
	for i, t := range s.Generated {
		l.answer.Add(s.Attempt, i, t)
	}
	switch {
	case s.Stream != "":
		return l, l.resume(now, false)
	case s.Spec.NonIdempotent && s.MayHaveRun:
		return l, l.giveUp(NotRepeatable, Reset, 0)
	}
	l.uncharged = true
	return l, l.dispatch(now, "", "")
}
