package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Freeze prepares the request for a hand-over and returns the snapshot that the
// successor needs. Until Unfreeze no new attempt starts, since the successor may
// already hold the request. Pieces of the current attempt are still accepted.
//
// It returns false if the request can't be handed over now: it has ended, an
// export is in progress, or a dispatch is unanswered, so that the successor would
// have no stream to resume. If urgent is set, an idempotent request is frozen in
// spite of an unanswered dispatch.
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

// Unfreeze continues the request on this daemon because no successor has taken it.
// A failure since Freeze is handled now.
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

// Released ends the request on this daemon because daemon to holds it now.
func (l *Lifecycle) Released(_ time.Time, to fleet.DaemonID) []Action {
	if l.phase == ended {
		return nil
	}
	l.phase = ended
	return []Action{Transfer{To: to}}
}

// Withdrawn ends the request on this daemon because daemon to holds it under a
// higher rank. The stream of a dispatch made here is cancelled, since the other
// holder has no record of it.
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

// OutcomeUnknown ends the request on this daemon because the successor did not
// reply and may have run it.
func (l *Lifecycle) OutcomeUnknown(time.Time) []Action {
	if l.phase == ended {
		return nil
	}
	l.phase = ended
	return []Action{Fail{Verdict: verdict.MayHaveRun, Reason: HandoverUnanswered, Cause: Silent}}
}

// Adopt continues a request that another daemon handed over. The engine's stream
// is resumed if there is one. Otherwise the request is dispatched again, unless
// that could run a non-idempotent request twice.
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
