package relay

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
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

// The first piece of an answer shows that a request can be run without a crash; the
// head alone doesn't.
func TestFirstPieceIsReported(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(response(200, "done")))
	s.send(t.Context(), "/lookup/1")
	assert.DeepEqual(t, s.recorder.ran, []quarantine.Key{lookupKey("/lookup/1")})
	s = newFixture(t, testRoutes(), alwaysAnswers(streamHead()+"cut"))
	s.send(t.Context(), "/once/1")
	assert.Equal(t, len(s.recorder.ran), 0)
}
