package relay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// An engine hangs in the middle of a stream: its connection stays open, its
// machine acknowledges what is sent, and nothing comes any more. The caller must
// get the rest from another engine soon, not an error at its deadline.
func TestStreamLeavesAnEngineThatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		script := func(_ int, r *http.Request) string {
			if r.Header.Get("After") == "" {
				return head() + chunk("id: 1\ndata: a\n\n")
			}
			return head() + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"
		}
		s := newStage(t, all(), &engine{script: script}, &engine{script: script})
		began := time.Now()
		got := s.ask(t.Context(), "/stream/1")
		assert.Equal(t, got.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
		assert.Assert(t, got.ended && !got.broken)
		assert.Assert(t, time.Since(began) < 2*leastPatience, "%v", time.Since(began))
	})
}

// The same on a route whose requests must run once at most. Nothing could be
// tried in the engine's place, so that the caller waits longer, and is told then
// that its request may have run.
func TestOrderGivesUpAnEngineThatHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hangs := &engine{script: func(int, *http.Request) string { return "HTTP/1.1 200 X\r\nId: ID\r\n" }}
		s := newStage(t, all(), hangs, hangs)
		began := time.Now()
		got := s.ask(t.Context(), "/order/1")
		assert.Equal(t, hangs.runs(), 1)
		assert.Equal(t, got.refusal.Reason, Broken)
		assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
		assert.Equal(t, time.Since(began).Round(time.Second), lastPatience)
	})
}

func TestPatienceGrowsWithThePrediction(t *testing.T) {
	assert.Equal(t, patience(false, 0), lastPatience)
	assert.Equal(t, patience(true, 0), leastPatience)
	assert.Equal(t, patience(true, time.Second), leastPatience+2*time.Second)
}
