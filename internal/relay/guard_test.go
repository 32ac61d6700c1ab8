package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

func lookupKey(path string) quarantine.Key { return quarantine.KeyOf("w", "POST", path, nil) }

// A request that crashes endpoints is repeated. It must be refused at once, as not
// run, with a retry delay, and its cost must be refunded.
func TestQuarantinedRequestReachesNoEndpoint(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(response(200, "done")))
	s.recorder.held = map[quarantine.Key]time.Duration{lookupKey("/lookup/1"): time.Minute}
	got := s.send(t.Context(), "/lookup/1")
	assert.Equal(t, s.runs(), 0)
	assert.Equal(t, *got.refusal, Refusal{Reason: Quarantined, Verdict: verdict.NotRun, RetryAfter: time.Minute})
	assert.Equal(t, s.state.Levels(time.Now())["w"], 1000.0)
	assert.Equal(t, s.recorder.last.RequestKey, lookupKey("/lookup/1"))
	assert.Equal(t, s.send(t.Context(), "/lookup/2").body.String(), "done")
}

// A request is found to crash endpoints while its first attempt is in progress.
// There must be no second attempt, and the caller must get the verdict that it may
// have run.
func TestRequestQuarantinedBetweenItsAttempts(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(""), alwaysAnswers(""))
	for _, e := range s.engines {
		e.script = func(int, *http.Request) string {
			s.recorder.mu.Lock()
			defer s.recorder.mu.Unlock()
			s.recorder.held = map[quarantine.Key]time.Duration{lookupKey("/lookup/1"): time.Minute}
			return ""
		}
	}
	got := s.send(t.Context(), "/lookup/1")
	assert.Equal(t, s.runs(), 1)
	assert.Equal(t, *got.refusal, Refusal{Reason: Quarantined, Verdict: verdict.MayHaveRun, RetryAfter: time.Minute})
}

// Guards against a request that is held while its connection is established, and still sent.
func TestRequestQuarantinedWhileConnecting(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(response(200, "done")))
	dial := s.dial(t)
	s.relay.pool = upstream.NewPool(4, func(ctx context.Context, address string) (net.Conn, error) {
		s.recorder.mu.Lock()
		s.recorder.held = map[quarantine.Key]time.Duration{lookupKey("/lookup/1"): time.Minute}
		s.recorder.mu.Unlock()
		return dial(ctx, address)
	})
	got := s.send(t.Context(), "/lookup/1")
	assert.Equal(t, s.runs(), 0)
	assert.Equal(t, *got.refusal, Refusal{Reason: Quarantined, Verdict: verdict.NotRun, RetryAfter: time.Minute})
	assert.Equal(t, s.send(t.Context(), "/lookup/2").body.String(), "done")
}

// Guards against a head or a refusal that clears a request.
func TestWholeAnswerIsReportedAsRun(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(response(200, "done")))
	s.send(t.Context(), "/lookup/1")
	assert.DeepEqual(t, s.recorder.ran, []quarantine.Key{lookupKey("/lookup/1")})
	s = newFixture(t, testRoutes(), alwaysAnswers(streamHead()+"cut"))
	s.send(t.Context(), "/once/1")
	assert.Equal(t, len(s.recorder.ran), 0)
	s = newFixture(t, testRoutes(), alwaysAnswers(response(503, "full")))
	s.send(t.Context(), "/order/1")
	assert.Equal(t, len(s.recorder.ran), 0)
}

// Guards against a first event that clears a request.
func TestStreamThatGoesOnIsReportedAsRun(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		ran   int
	}{{quarantine.Settled / 2, 0}, {quarantine.Settled, 1}} {
		synctest.Test(t, func(t *testing.T) {
			s := newFixture(t, testRoutes(), &engine{script: func(int, *http.Request) string { return "" }})
			s.engines[0].write = func(w io.Writer) {
				_, _ = io.WriteString(w, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+chunk(oneEvent))
				time.Sleep(c.pause)
				_, _ = io.WriteString(w, chunk("id: 2\ndata: b\n\n"))
			}
			s.send(t.Context(), "/once/1")
			assert.Equal(t, len(s.recorder.ran), c.ran)
			assert.Equal(t, len(s.recorder.cuts), 1)
		})
	}
}
