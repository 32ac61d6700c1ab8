package request

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

var t0 = time.Unix(1_000_000, 0)

// noRetries is a budget that allows no retry.
type noRetries struct{}

func (noRetries) Take(time.Time) bool { return false }
func (noRetries) Success(time.Time)   {}

func token(i int) string { return fmt.Sprint(i, " ") }

// streamingLifecycle returns a Lifecycle with n tokens read from stream s1 of
// engine e1.
func streamingLifecycle(t *testing.T, nonIdempotent bool, b Budget, n int) *Lifecycle {
	t.Helper()
	l := NewLifecycle(Spec{NonIdempotent: nonIdempotent, Deadline: t0.Add(time.Minute)}, DefaultPolicy(), b)
	assert.DeepEqual(t, l.Start(t0), []Action{Dispatch{Attempt: 1}})
	l.Accepted(t0)
	l.Dispatched(t0, 1, "e1")
	assert.Equal(t, len(l.Opened(t0, 1, "e1", "s1")), 0)
	for i := range n {
		r, _ := l.Piece(t0, 1, i, token(i))
		assert.Equal(t, r, Appended)
	}
	return l
}

// Guards against an answer that stops because the connection to a healthy engine
// stalls. The engine's stream must be read again on a new connection, and the late
// failure of the old connection must be ignored. Only when new connections fail as
// well is the answer recomputed on another engine.
func TestSilentStreamIsResumedBeforeRecomputed(t *testing.T) {
	l := streamingLifecycle(t, false, NewRetryBudget(0.1, 3), 5)
	now := l.Next()
	assert.Equal(t, now, t0.Add(DefaultPolicy().ProgressTimeout))
	assert.DeepEqual(t, l.Tick(now), []Action{
		ResumeStream{Attempt: 2, Endpoint: "e1", Stream: "s1", From: 5, Replace: true},
	})
	assert.Equal(t, len(l.Failed(now, Failure{Attempt: 1, Kind: Reset})), 0)
	r, _ := l.Piece(now, 1, 5, "late")
	assert.Equal(t, r, Stale)
	assert.DeepEqual(t, l.Failed(now, Failure{Attempt: 2, Kind: Dial}), []Action{
		ResumeStream{Attempt: 3, Endpoint: "e1", Stream: "s1", From: 5},
	})
	actions := l.Failed(now, Failure{Attempt: 3, Kind: Dial})
	assert.DeepEqual(t, actions[0], CancelStream{Endpoint: "e1", Stream: "s1"})
	again := actions[1].(Continue)
	assert.Equal(t, again.From, 5)
	assert.DeepEqual(t, string(again.Avoid[0]), "e1")
}

// A piece is lost between the engine and the daemon. The stream must be read again
// from the first missing piece.
func TestStreamIsReadAgainFromAGap(t *testing.T) {
	l := streamingLifecycle(t, false, noRetries{}, 2)
	r, actions := l.Piece(t0, 1, 3, token(3))
	assert.Equal(t, r, Gap)
	assert.DeepEqual(t, actions, []Action{ResumeStream{Attempt: 2, Endpoint: "e1", Stream: "s1", From: 2}})
	r, actions = l.Piece(t0, 1, 4, token(4))
	assert.Equal(t, r, Stale)
	assert.Equal(t, len(actions), 0)
}

// Guards against losing a long answer because its engine is reclaimed while the
// retry budget is spent. A request displaced by an announced reclaim is continued
// without charging the budget, and waits while there is no endpoint. The same
// failure without a notice is charged, so the request ends immediately.
func TestAnnouncedReclaimIsNotCharged(t *testing.T) {
	l := streamingLifecycle(t, false, noRetries{}, 3)
	l.Notice(t0, "e1", t0.Add(time.Second))
	now := t0.Add(time.Second)
	actions := l.Failed(now, Failure{Attempt: 1, Kind: Reset})
	assert.Equal(t, actions[1].(Continue).Attempt, uint32(2))
	for attempt := uint32(2); attempt < 12; attempt++ {
		assert.Equal(t, len(l.Failed(now, Failure{Attempt: attempt, Kind: NoEndpoint})), 0)
		now = l.Next()
		assert.Equal(t, l.Tick(now)[0].(Continue).Attempt, attempt+1)
	}
	r, _ := l.Piece(now, 12, 3, token(3))
	assert.Equal(t, r, Appended)

	l = streamingLifecycle(t, false, noRetries{}, 3)
	actions = l.Failed(t0, Failure{Attempt: 1, Kind: NotFound})
	assert.DeepEqual(t, actions[1], Fail{Reason: BudgetSpent, Cause: NotFound, RetryAfter: time.Second})
}

// Guards against a non-idempotent request that runs twice: the connection breaks
// after the request was written, so it must not be sent again. If no connection was
// made, nothing was sent, and another endpoint may be tried.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	spec := Spec{NonIdempotent: true, Deadline: t0.Add(time.Minute)}
	l := NewLifecycle(spec, DefaultPolicy(), NewRetryBudget(0.1, 3))
	l.Start(t0)
	l.Dispatched(t0, 1, "p1")
	assert.Equal(t, l.Failed(t0, Failure{Attempt: 1, Kind: Dial})[0].(Dispatch).Attempt, uint32(2))
	assert.DeepEqual(t, l.Failed(t0, Failure{Attempt: 2, Kind: Reset}), []Action{
		Fail{Verdict: verdict.MayHaveRun, Reason: NotRepeatable, Cause: Reset},
	})

	l = NewLifecycle(spec, DefaultPolicy(), NewRetryBudget(0.1, 3))
	l.Start(t0)
	refused := Failure{Attempt: 1, Kind: Unavailable, Verdict: verdict.NotRun, RetryAfter: time.Second}
	assert.DeepEqual(t, l.Failed(t0, refused), []Action{
		Fail{Verdict: verdict.NotRun, Reason: NotRepeatable, Cause: Unavailable, RetryAfter: time.Second},
	})
}

// Guards against recomputing tokens after a KV export, which stops the stream while
// its last pieces may arrive before the blob or after it. Every token must be
// counted once, and the target must continue after the last one.
func TestExportKeepsEveryToken(t *testing.T) {
	l := streamingLifecycle(t, false, noRetries{}, 2)
	l.Notice(t0, "e1", t0.Add(time.Minute))
	assert.DeepEqual(t, l.Move(t0, "e2"), []Action{MoveKV{Attempt: 2, From: "e1", Stream: "s1", To: "e2"}})
	r, _ := l.Piece(t0, 1, 2, token(2))
	assert.Equal(t, r, Appended)
	assert.Equal(t, len(l.Failed(t0, Failure{Attempt: 1, Kind: Reset})), 0)
	actions := l.Exported(t0, 2, "blob", []string{token(0), token(1), token(2), token(3)})
	assert.DeepEqual(t, actions[0].(Continue).KV, "blob")
	assert.Equal(t, actions[0].(Continue).From, 4)
	assert.Equal(t, string(actions[0].(Continue).Endpoint), "e2")

	l = streamingLifecycle(t, false, noRetries{}, 2)
	l.Move(t0, "e2")
	actions = l.Exported(t0, 2, "blob", []string{token(0)})
	assert.DeepEqual(t, actions[1], Continue{Attempt: 3, Endpoint: "e2", From: 2}) // the export lacks a token, so the target recomputes
}

// Guards against a request that two daemons dispatch: its stream breaks while it is
// offered to a successor. No attempt may start until the successor has refused;
// then the failure is handled.
func TestFrozenRequestStartsNoAttempt(t *testing.T) {
	l := streamingLifecycle(t, false, NewRetryBudget(0.1, 3), 2)
	s, ok := l.Freeze(t0, false)
	assert.Assert(t, ok)
	assert.Equal(t, s.Stream, "s1")
	assert.Equal(t, len(l.Failed(t0, Failure{Attempt: 1, Kind: NotFound})), 0)
	assert.Equal(t, len(l.Tick(t0.Add(30*time.Second))), 0)
	assert.Equal(t, len(l.Recompute(t0, "e2")), 0)
	actions := l.Unfreeze(t0)
	assert.Equal(t, actions[1].(Continue).From, 2)

	next, actions := Adopt(t0, s, DefaultPolicy(), noRetries{})
	assert.DeepEqual(t, actions, []Action{ResumeStream{Attempt: 2, Endpoint: "e1", Stream: "s1", From: 2}})
	assert.Equal(t, next.Answer().Text(), "0 1 ")
}

func BenchmarkLifePiece(b *testing.B) {
	b.ReportAllocs()
	var l *Lifecycle
	offset := 4096
	for b.Loop() {
		if offset == 4096 {
			l = NewLifecycle(Spec{Deadline: t0.Add(time.Hour)}, DefaultPolicy(), noRetries{})
			l.Start(t0)
			l.Opened(t0, 1, "e1", "s1")
			offset = 0
		}
		l.Piece(t0, 1, offset, " token")
		offset++
	}
}
