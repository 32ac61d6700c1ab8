package request

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// lifecycleRun drives a Lifecycle with random events and records what happened.
type lifecycleRun struct {
	lifecycle *Lifecycle
	now       time.Time
	length    int
	sent      map[uint32]bool // dispatches that may have reached an endpoint
	terminal  []Action
	moves     []MoveKV
}

func (r *lifecycleRun) take(t *rapid.T, actions []Action) {
	for _, a := range actions {
		if len(r.terminal) > 0 {
			_, cancels := a.(CancelStream)
			assert.Assert(t, cancels, "%T after the end", a)
		}
		switch a := a.(type) {
		case Dispatch:
			r.sent[a.Attempt] = true
		case Continue:
			r.sent[a.Attempt] = true
		case MoveKV:
			r.moves = append(r.moves, a)
		case Finish, Fail, Transfer:
			r.terminal = append(r.terminal, a)
		}
	}
	if r.lifecycle.Spec().NonIdempotent {
		assert.Assert(t, len(r.sent) <= 1, "dispatched %d times", len(r.sent))
	}
}

func (r *lifecycleRun) fail(t *rapid.T) {
	f := Failure{
		Attempt: rapid.Uint32Range(1, r.lifecycle.Attempt()+1).Draw(t, "attempt"),
		Kind:    FailureKind(rapid.IntRange(int(Reset), int(NoEndpoint)).Draw(t, "kind")),
	}
	if f.Kind == Unavailable && rapid.Bool().Draw(t, "proof") {
		f.Verdict = verdict.NotRun
	}
	if f.Attempt == r.lifecycle.Attempt() && r.lifecycle.phase == dispatching && f.provesNotRun() {
		delete(r.sent, f.Attempt)
	}
	r.take(t, r.lifecycle.Failed(r.now, f))
}

// A Lifecycle gets every event in any order: pieces with gaps, late failures,
// notices, exports, hand-overs. It must end exactly once, Finish must come with the
// complete answer, not-run must mean that no dispatch can have arrived, and a
// non-idempotent request must be sent at most once.
func TestLifecycleUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := &lifecycleRun{now: t0, length: rapid.IntRange(1, 8).Draw(t, "length"), sent: map[uint32]bool{}}
		spec := Spec{NonIdempotent: rapid.Bool().Draw(t, "nonIdempotent"), Deadline: t0.Add(time.Minute)}
		r.lifecycle = NewLifecycle(spec, DefaultPolicy(), NewRetryBudget(0.1, 0.2))
		r.take(t, r.lifecycle.Start(r.now))
		endpoint := rapid.SampledFrom([]fleet.EndpointID{"e1", "e2", "e3"})
		t.Repeat(map[string]func(*rapid.T){
			"open": func(t *rapid.T) {
				attempt := rapid.Uint32Range(1, r.lifecycle.Attempt()).Draw(t, "attempt")
				stream := rapid.SampledFrom([]string{"", "s1", "s2"}).Draw(t, "stream")
				r.take(t, r.lifecycle.Opened(r.now, attempt, endpoint.Draw(t, "endpoint"), stream))
			},
			"piece": func(t *rapid.T) {
				attempt := rapid.Uint32Range(1, r.lifecycle.Attempt()).Draw(t, "attempt")
				i := rapid.IntRange(0, r.length-1).Draw(t, "offset")
				_, actions := r.lifecycle.Piece(r.now, attempt, i, token(i))
				r.take(t, actions)
			},
			"next": func(t *rapid.T) {
				if i := r.lifecycle.Answer().Len(); i < r.length {
					_, actions := r.lifecycle.Piece(r.now, r.lifecycle.Attempt(), i, token(i))
					r.take(t, actions)
				}
			},
			"done":     func(t *rapid.T) { r.take(t, r.lifecycle.Done(r.now, r.lifecycle.Attempt(), r.length)) },
			"fail":     r.fail,
			"accepted": func(t *rapid.T) { r.lifecycle.Accepted(r.now) },
			"notice": func(t *rapid.T) {
				r.lifecycle.Notice(r.now, endpoint.Draw(t, "endpoint"), r.now.Add(time.Second))
			},
			"move":      func(t *rapid.T) { r.take(t, r.lifecycle.Move(r.now, endpoint.Draw(t, "to"))) },
			"recompute": func(t *rapid.T) { r.take(t, r.lifecycle.Recompute(r.now, endpoint.Draw(t, "to"))) },
			"exported": func(t *rapid.T) {
				for _, m := range r.moves {
					var all []string
					for i := range rapid.IntRange(0, r.length).Draw(t, "tokens") {
						all = append(all, token(i))
					}
					r.take(t, r.lifecycle.Exported(r.now, m.Attempt, "blob", all))
				}
			},
			"hold":   func(t *rapid.T) { r.lifecycle.Freeze(r.now, rapid.Bool().Draw(t, "urgent")) },
			"unhold": func(t *rapid.T) { r.take(t, r.lifecycle.Unfreeze(r.now)) },
			"tick": func(t *rapid.T) {
				r.now = r.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
				r.take(t, r.lifecycle.Tick(r.now))
			},
			"": func(t *rapid.T) { assert.Assert(t, len(r.terminal) <= 1) },
		})
		r.take(t, r.lifecycle.Tick(spec.Deadline))
		r.check(t)
	})
}

func (r *lifecycleRun) check(t *rapid.T) {
	assert.Equal(t, len(r.terminal), 1)
	switch end := r.terminal[0].(type) {
	case Finish:
		assert.Equal(t, r.lifecycle.Answer().Len(), r.length)
		for i, text := range r.lifecycle.Answer().From(0) {
			assert.Equal(t, text, token(i))
		}
	case Fail:
		if end.Verdict == verdict.NotRun {
			assert.Equal(t, len(r.sent), 0)
		}
	}
}
