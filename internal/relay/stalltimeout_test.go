package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// An engine hangs in the middle of a stream: its connection stays open, its machine
// acknowledges what is sent, and nothing arrives any more. The caller must soon get
// the rest from another engine, not an error at its deadline.
func TestStreamMovesAwayFromAHungEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		script := func(_ int, r *http.Request) string {
			if r.Header.Get("After") == "" {
				return streamHead() + chunk("id: 1\ndata: a\n\n")
			}
			return streamHead() + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"
		}
		s := newFixture(t, testRoutes(), &engine{script: script}, &engine{script: script})
		began := time.Now()
		got := s.send(t.Context(), "/stream/1")
		assert.Equal(t, got.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		assert.Assert(t, got.ended && !got.aborted)
		assert.Assert(t, time.Since(began) < 2*retryStallTimeout, "%v", time.Since(began))
	})
}

// The same on a route whose requests may run only once. No other attempt is
// possible, so that the caller waits longer and then gets the verdict that its
// request may have run.
func TestOrderGivesUpOnAHungEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hangs := &engine{script: func(int, *http.Request) string { return "HTTP/1.1 200 X\r\nId: ID\r\n" }}
		s := newFixture(t, testRoutes(), hangs, hangs)
		began := time.Now()
		got := s.send(t.Context(), "/order/1")
		assert.Equal(t, hangs.runs(), 1)
		assert.Equal(t, got.refusal.Reason, Broken)
		assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
		assert.Equal(t, time.Since(began).Round(time.Second), finalStallTimeout)
	})
}

func TestStallTimeoutGrowsWithThePredictedWait(t *testing.T) {
	assert.Equal(t, stallTimeout(false, 0), finalStallTimeout)
	assert.Equal(t, stallTimeout(true, 0), retryStallTimeout)
	assert.Equal(t, stallTimeout(true, time.Second), retryStallTimeout+2*time.Second)
}
