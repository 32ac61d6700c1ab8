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

// readAll reads an answer to its end and checks that no token is missing or
// comes twice.
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

// The connection to the engine breaks in the middle of an answer. The caller
// sees nothing of it: the engine's stream is read on from the next token, and
// the prompt isn't dispatched again.
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

// No endpoint serves the model. Nothing was accepted, so the refusal is
// not-run, and the same key may be used again.
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

// Every endpoint would miss the latency target. A new request is refused
// before anything left; one that was accepted goes on, however late.
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

// The ledger knows the key of a non-idempotent request from another daemon,
// or can't be written. Neither may be dispatched; only the second is not-run.
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

func TestCancelEndsTheAnswerAndTheStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{}
		d := newFakeDispatcher("a", e, &fakeDeps{}, false)
		a, p := d.Submit(t.Context(), submission("r", "body"))
		assert.Assert(t, p == nil)
		time.Sleep(50 * time.Millisecond) // of the bubble's clock
		assert.Assert(t, d.Cancel(t.Context(), "w", "r") == nil)
		assert.Assert(t, readAll(t, a).Failure != nil)
		synctest.Wait()
		assert.Equal(t, e.cancels, 1)
		assert.Assert(t, d.Cancel(t.Context(), "other", "r") != nil)
	})
}

// A daemon leaves with a request running, and the reply to its first offer is
// lost. The successor may hold the request by then, so the same offer is
// repeated. The caller is sent on, the engine's stream is resumed once, and
// nothing is dispatched a second time.
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

// A caller's connection breaks before its answer is whole; the answer is
// finished meanwhile, and the daemon that keeps it leaves. The caller asks the
// successor and must get the whole answer without a second dispatch.
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
		time.Sleep(time.Second) // of the bubble's clock
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

// The last daemon of a fleet leaves: there is no successor. Its request
// finishes where it is before Leave returns.
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

// A caller leaves before any engine answered. Nobody knows the request's id,
// so it is given up instead of running for nobody.
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
