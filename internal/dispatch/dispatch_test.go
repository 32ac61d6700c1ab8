package dispatch

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// readAll reads an answer to its end and checks that each token comes exactly
// once. It returns the last part.
func readAll(t *testing.T, a gateway.Answer) gateway.Part {
	t.Helper()
	n := 0
	for {
		p, err := a.Next(t.Context(), n)
		assert.NilError(t, err)
		for _, token := range p.Tokens {
			assert.Equal(t, token, fmt.Sprintf(" t%d", n))
			n++
		}
		if p.Done || p.MovedTo != "" || p.Failure != nil {
			return p
		}
	}
}

// When the connection to the engine breaks in the middle of an answer, the
// engine's stream is resumed at the next token. The prompt isn't dispatched
// again, and the caller doesn't notice.
func TestBrokenStreamIsResumedNotRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{cutAfter: 7}
		d := newFakeDispatcher("a", e, &fakeDeps{}, false)
		a, p := d.Submit(t.Context(), submission("r", "body"))
		assert.Assert(t, p == nil)
		end := readAll(t, a)
		assert.Assert(t, end.Done)
		assert.Equal(t, end.Usage.CompletionTokens, 20)
		assert.Equal(t, e.starts, 1)
		assert.Equal(t, e.resumes, 1)
	})
}

// A second request with the same key and body reads the same answer; one with
// another body is refused.
func TestSameKeyAttachesAndOtherBodyIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{}
		d := newFakeDispatcher("a", e, &fakeDeps{}, false)
		a, p := d.Submit(t.Context(), submission("r", "body"))
		assert.Assert(t, p == nil)
		again, p := d.Submit(t.Context(), submission("r", "body"))
		assert.Assert(t, p == nil)
		_, p = d.Submit(t.Context(), submission("r", "other"))
		assert.Equal(t, p.Status, http.StatusConflict)
		assert.Equal(t, p.Verdict, verdict.NotRun)
		assert.Assert(t, readAll(t, a).Done)
		assert.Assert(t, readAll(t, again).Done)
		assert.Equal(t, e.starts, 1)
	})
}

// When no endpoint serves the model, the request is refused with the verdict
// not-run and not remembered, so that its key can be used again.
func TestKeyOfRefusedRequestMayBeReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, f := &fakeEngines{}, &fakeDeps{noEndpoint: true}
		d := newFakeDispatcher("a", e, f, false)
		_, p := d.Submit(t.Context(), submission("r", "body"))
		assert.Equal(t, p.Verdict, verdict.NotRun)
		assert.Equal(t, p.Status, http.StatusServiceUnavailable)
		synctest.Wait()
		assert.Equal(t, d.Live(), 0)
		assert.Equal(t, f.released.Load(), int64(1))
		f.noEndpoint = false
		a, p := d.Submit(t.Context(), submission("r", "body"))
		assert.Assert(t, p == nil)
		assert.Assert(t, readAll(t, a).Done)
	})
}

// When every endpoint would miss the latency target, a new request is refused
// before it is sent anywhere. One that was accepted continues, however late.
func TestOverloadRefusesNewRequestsOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, f := &fakeEngines{}, &fakeDeps{overloaded: true}
		d := newFakeDispatcher("a", e, f, false)
		_, p := d.Submit(t.Context(), submission("r", "body"))
		assert.Equal(t, p.Verdict, verdict.NotRun)
		assert.Equal(t, p.RetryAfter, time.Second)
		assert.Equal(t, e.starts, 0)

		f.overloaded = false
		a, p := d.Submit(t.Context(), submission("s", "body"))
		assert.Assert(t, p == nil)
		f.overloaded = true
		for _, r := range d.running() {
			r.apply(func(now time.Time) []request.Action { return r.life.Recompute(now, "") })
		}
		assert.Assert(t, readAll(t, a).Done)
	})
}

// A non-idempotent request must not be dispatched if the ledger has its key from
// another daemon or can't be written. Only in the second case is it certain that
// the request has not run.
func TestNonIdempotentRequestNeedsTheLedgersGrant(t *testing.T) {
	for _, c := range []struct {
		name   string
		intent Intent
		want   verdict.Verdict
	}{
		{"found", Intent{Existing: &ExistingIntent{}}, verdict.MayHaveRun},
		{"refused", Intent{Refused: problem.New(503, verdict.NotRun, "down")}, verdict.NotRun},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngines{}
				d := newFakeDispatcher("a", e, &fakeDeps{intent: c.intent}, true)
				_, p := d.Submit(t.Context(), submission("r", "body"))
				assert.Equal(t, p.Verdict, c.want)
				assert.Equal(t, e.starts, 0)
				assert.Equal(t, d.Live(), 0)
			})
		})
	}
}

// The ledger must hold the outcome of a non-idempotent request, for later
// requests with its key.
func TestOutcomeIsStoredInLedger(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeDeps{intent: Intent{Granted: true}}
		d := newFakeDispatcher("a", &fakeEngines{}, f, true)
		a, p := d.Submit(t.Context(), submission("r", "body"))
		assert.Assert(t, p == nil)
		assert.Assert(t, readAll(t, a).Done)
		synctest.Wait()
		assert.Equal(t, len(f.settled), 1)
		assert.Equal(t, f.settled[0].Status, http.StatusOK)
	})
}

// Cancelling a request must also cancel the stream at the engine, and only the
// request's own workspace may do it.
func TestCancelEndsTheAnswerAndTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{}
		d := newFakeDispatcher("a", e, &fakeDeps{}, false)
		a, p := d.Submit(t.Context(), submission("r", "body"))
		assert.Assert(t, p == nil)
		time.Sleep(50 * time.Millisecond) // on the fake clock of synctest
		assert.Assert(t, d.Cancel(t.Context(), "w", "r") == nil)
		assert.Assert(t, readAll(t, a).Failure != nil)
		synctest.Wait()
		assert.Equal(t, e.cancels, 1)
		assert.Assert(t, d.Cancel(t.Context(), "other", "r") != nil)
	})
}

// A daemon leaves while a request is running, and the reply to its first offer is
// lost. The successor may have taken the request, so the same offer must be
// repeated. The caller is redirected to the successor, the engine's stream is
// resumed once, and the request is not dispatched a second time.
func TestHandOverWithALostReplyDispatchesNothingTwice(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		t.Run(fmt.Sprint("non-idempotent ", nonIdempotent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := &fakeEngines{interval: time.Second}
				f := &fakeDeps{intent: Intent{Granted: true}, repliesToLose: 1, peers: map[fleet.DaemonID]*Dispatcher{}}
				origin := newFakeDispatcher("a", e, f, nonIdempotent)
				successor := newFakeDispatcher("b", e, f, nonIdempotent)
				f.peers["b"] = successor
				s := submission("r", "body")
				a, p := origin.Submit(t.Context(), s)
				assert.Assert(t, p == nil)
				time.Sleep(5500 * time.Millisecond)
				err := origin.Leave(t.Context(), request.Member{Daemon: "a", DataCentre: "dc"}, time.Now().Add(time.Minute))
				assert.NilError(t, err)
				assert.Equal(t, readAll(t, a).MovedTo, "at b")
				assert.Equal(t, f.offers, 2)

				moved, p := origin.Submit(t.Context(), s)
				assert.Assert(t, p == nil)
				assert.Equal(t, readAll(t, moved).MovedTo, "at b")
				held := successor.LocalAnswer("w", "r")
				assert.Assert(t, held != nil)
				assert.Assert(t, readAll(t, held).Done)
				assert.Equal(t, e.starts, 1)
				assert.Equal(t, e.resumes, 1)
				synctest.Wait()
				assert.Equal(t, len(f.settled) > 0, nonIdempotent)
			})
		})
	}
}

// A caller's connection breaks before its answer is complete. The answer is
// completed, then its daemon leaves. The caller must get the complete answer
// from the successor, without a second dispatch.
func TestUnreadAnswerIsHandedOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e, f := &fakeEngines{}, &fakeDeps{peers: map[fleet.DaemonID]*Dispatcher{}}
		origin, successor := newFakeDispatcher("a", e, f, false), newFakeDispatcher("b", e, f, false)
		f.peers["b"] = successor
		a, p := origin.Submit(t.Context(), submission("unread", "body"))
		assert.Assert(t, p == nil)
		a.Close()
		read, p := origin.Submit(t.Context(), submission("read", "body"))
		assert.Assert(t, p == nil)
		assert.Assert(t, readAll(t, read).Done)
		time.Sleep(time.Second) // on the fake clock of synctest
		self := request.Member{Daemon: "a", DataCentre: "dc"}
		assert.Equal(t, origin.HandOverFinished(t.Context(), self), 1)
		kept := successor.LocalAnswer("w", "unread")
		assert.Assert(t, kept != nil)
		end := readAll(t, kept)
		assert.Assert(t, end.Done)
		assert.Equal(t, end.Usage.CompletionTokens, 20)
		assert.Assert(t, successor.LocalAnswer("w", "read") == nil)
		assert.Equal(t, e.starts, 2)
		assert.Equal(t, e.resumes, 0)
	})
}

// When the last daemon of a fleet leaves, there is no successor: Leave must wait
// until its requests have finished.
func TestLeavingWithoutSuccessorFinishesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newFakeDispatcher("a", &fakeEngines{interval: time.Second}, &fakeDeps{}, false)
		a, p := d.Submit(t.Context(), submission("r", "body"))
		assert.Assert(t, p == nil)
		err := d.Leave(t.Context(), request.Member{Daemon: "a", DataCentre: "dc"}, time.Now().Add(time.Minute))
		assert.NilError(t, err)
		assert.Assert(t, readAll(t, a).Done)
	})
}

// When the caller disconnects before any engine has answered, no one can resume
// the request, so it must be cancelled rather than left running.
func TestRequestIsCancelledIfCallerLeavesBeforeAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{startErr: &AttemptError{Kind: request.Dial, Verdict: verdict.NotRun, Err: context.DeadlineExceeded}}
		d := newFakeDispatcher("a", e, &fakeDeps{}, false)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, p := d.Submit(ctx, submission("r", "body"))
		assert.Assert(t, p != nil)
		synctest.Wait()
		assert.Equal(t, d.Live(), 0)
	})
}
