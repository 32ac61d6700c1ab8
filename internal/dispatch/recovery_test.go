package dispatch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/admission"
	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gateway"
	"github.com/cyclamenbeam/cyclamenbeam/internal/request"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// deadEndpointsFirst is a router that chooses the endpoints in their order; only
// the last one is alive.
type deadEndpointsFirst struct {
	*fakeDeps
	endpoints []fleet.EndpointID
}

func newDeadEndpointsFirst(dead int) *deadEndpointsFirst {
	r := &deadEndpointsFirst{fakeDeps: &fakeDeps{}}
	for i := range dead {
		r.endpoints = append(r.endpoints, fleet.EndpointID(fmt.Sprintf("dead-%d", i)))
	}
	r.endpoints = append(r.endpoints, "alive")
	return r
}

func (r *deadEndpointsFirst) Pick(q *routing.Request) (routing.Choice, error) {
	for _, e := range r.endpoints {
		if !slices.Contains(q.Exclude, e) {
			return routing.Choice{Endpoint: e, Address: string(e)}, nil
		}
	}
	return routing.Choice{}, routing.NoEndpoint{Cause: routing.NotServed}
}

// oneAliveEngine accepts connections only at the address "alive".
type oneAliveEngine struct{ *fakeEngines }

func (e oneAliveEngine) Start(ctx context.Context, address string, q *engineapi.CompletionRequest, id fleet.RequestID, o StartOptions) (Stream, error) {
	if address != "alive" {
		return nil, &AttemptError{Kind: request.Dial, Verdict: verdict.NotRun, Err: errors.New("connection refused")}
	}
	return e.fakeEngines.Start(ctx, address, q, id, o)
}

// More engines than a request has attempts have disappeared without notice. The
// caller must get the answer from the one that is alive. This also holds for a
// non-idempotent request, since nothing was sent to the dead engines.
func TestUnreachableEnginesUseNoAttempts(t *testing.T) {
	for _, nonIdempotent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			e := &fakeEngines{}
			r := newDeadEndpointsFirst(10)
			r.intent = Intent{Granted: true}
			d := newFakeDispatcher("a", e, r.fakeDeps, nonIdempotent)
			d.opts.Router, d.opts.Engines = r, oneAliveEngine{e}
			a, p := d.Submit(t.Context(), submission("r", "body"))
			assert.Assert(t, p == nil, "%v", p)
			assert.Assert(t, readAll(t, a).Done)
			assert.Equal(t, e.starts, 1)
		})
	}
}

// goneEngines has lost its streams: none can be resumed.
type goneEngines struct{ *fakeEngines }

func (goneEngines) Resume(context.Context, string, string, int, bool) (Stream, error) {
	return nil, &AttemptError{Kind: request.NotFound, Err: errors.New("no such stream")}
}

// admitAll admits every request and doesn't count releases, so that many runs may
// end at the same time.
type admitAll struct{ *fakeDeps }

func (admitAll) Release(fleet.RequestID, admission.Usage) {}

// More streams break at once than the retry budget has retries. Their requests
// were accepted, so each caller must still get its complete answer.
func TestAcceptedRequestsAreRetriedBeyondTheRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams = 100
		e := &fakeEngines{}
		f := &fakeDeps{}
		d := newFakeDispatcher("a", e, f, false)
		d.opts.Engines, d.opts.Admission = goneEngines{e}, admitAll{f}
		d.opts.Log.Logger.SetOutput(io.Discard)
		var answers []gateway.Answer
		for i := range streams {
			e.cutAfter = 7
			a, p := d.Submit(t.Context(), submission(fleet.RequestID(fmt.Sprint(i)), "body"))
			assert.Assert(t, p == nil, "%v", p)
			answers = append(answers, a)
		}
		for _, a := range answers {
			end := readAll(t, a)
			assert.Assert(t, end.Done, "%v", end.Failure)
		}
	})
}

// A daemon takes over a half-finished answer and reads its first tokens. If it
// counted the tokens that the previous daemon read, it would underestimate the
// remaining time and leave the request on an engine that is about to leave.
func TestRemainingTimeAfterTakeoverIsNotUnderestimated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &fakeEngines{interval: time.Second} // 20 tokens
		f := &fakeDeps{peers: map[fleet.DaemonID]*Dispatcher{}}
		origin, successor := newFakeDispatcher("a", e, f, false), newFakeDispatcher("b", e, f, false)
		f.peers["b"] = successor
		_, p := origin.Submit(t.Context(), submission("r", "body"))
		assert.Assert(t, p == nil, "%v", p)
		time.Sleep(9500 * time.Millisecond)
		err := origin.Leave(t.Context(), request.Member{Daemon: "a", DataCentre: "dc"}, time.Now().Add(time.Minute))
		assert.NilError(t, err)
		for range 3 {
			time.Sleep(time.Second)
			streams := successor.Streams(1)
			assert.Equal(t, len(streams), 1)
			left := 20 - streams[0].Generated
			assert.Assert(t, streams[0].Remaining >= time.Duration(left)*assumedTokenInterval,
				"%s for %d tokens", streams[0].Remaining, left)
		}
		successor.Cancel(t.Context(), "w", "r")
		synctest.Wait()
	})
}
