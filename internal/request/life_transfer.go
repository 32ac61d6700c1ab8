package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Hold freezes the request for a transfer and returns what the successor
// needs. Until Unhold no new attempt starts: the successor may hold the
// request already. Pieces of the running one are still taken.
//
// It reports false for a request that must not move now: one that has ended,
// an export under way, and a dispatch that has not been answered, whose stream
// the successor could not resume. With urgent set, an idempotent request moves
// in spite of an unanswered dispatch.
func (l *Life) Hold(_ time.Time, urgent bool) (Snapshot, bool) {
	switch l.phase {
	case ended, moving:
		return Snapshot{}, false
	case dispatching:
		if !urgent || l.spec.NonIdempotent {
			return Snapshot{}, false
		}
	}
	l.held = true
	return l.snapshot(), true
}

func (l *Life) snapshot() Snapshot {
	s := Snapshot{Spec: l.spec, Attempt: l.attempt, MayRun: l.unproven > 0, Generated: l.answer.Tokens(0)}
	if l.stream != "" {
		s.Endpoint, s.Stream = l.endpoint, l.stream
	}
	return s
}

// Unhold says that no successor has the request: it goes on here, with
// whatever failed meanwhile.
func (l *Life) Unhold(now time.Time) []Action {
	if !l.held || l.phase == ended {
		return nil
	}
	l.held = false
	if f := l.parked; f != nil {
		l.parked = nil
		return l.recover(now, *f)
	}
	return nil
}

// Released ends the life here because daemon to holds the request now.
func (l *Life) Released(_ time.Time, to fleet.DaemonID) []Action {
	if l.phase == ended {
		return nil
	}
	l.phase = ended
	return []Action{Transfer{To: to}}
}

// Withdrawn ends the life here because daemon to holds the request under a
// higher transfer number. A stream of this life's own dispatch is cancelled:
// the other holder doesn't know it.
func (l *Life) Withdrawn(now time.Time, to fleet.DaemonID) []Action {
	if l.phase == ended {
		return nil
	}
	var out []Action
	if l.own && !l.spec.NonIdempotent {
		out = l.cancelStream(out)
	}
	return append(out, l.Released(now, to)...)
}

// Lost ends the life here because the successor's answer never came and the
// successor may have run it.
func (l *Life) Lost(time.Time) []Action {
	if l.phase == ended {
		return nil
	}
	l.phase = ended
	return []Action{Fail{Verdict: verdict.MayHaveRun, Reason: HandoverUnknown, Cause: Silent}}
}

// Adopt carries on a request that another daemon handed over. The engine's
// stream is resumed where there is one; a new dispatch is made only where that
// cannot run a non-idempotent request twice.
func Adopt(now time.Time, s Snapshot, p Policy, b Budget) (*Life, []Action) {
	l := NewLife(s.Spec, p, b)
	l.accepted = true
	l.attempt = s.Attempt
	l.endpoint, l.stream = s.Endpoint, s.Stream
	if s.MayRun {
		l.unproven = 1
	}
	for i, t := range s.Generated {
		l.answer.Add(s.Attempt, i, t)
	}
	switch {
	case s.Stream != "":
		return l, l.resume(now, false)
	case s.Spec.NonIdempotent && s.MayRun:
		return l, l.giveUp(NotRepeatable, Reset, 0)
	}
	l.announced = true
	return l, l.dispatch(now, "", "")
}
