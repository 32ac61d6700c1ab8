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

// A request that crashes endpoints comes again. It is refused at once, as not
// run, with a time, and its tokens are given back.
func TestHeldRequestReachesNoEndpoint(t *testing.T) {
	s := newStage(t, all(), always(whole(200, "done")))
	s.watcher.hold = map[quarantine.Key]time.Duration{lookupKey("/lookup/1"): time.Minute}
	got := s.ask(t.Context(), "/lookup/1")
	assert.Equal(t, s.runs(), 0)
	assert.Equal(t, *got.refusal, Refusal{Reason: Quarantined, Verdict: verdict.NotRun, RetryAfter: time.Minute})
	assert.Equal(t, s.state.Levels(time.Now())["w"], 1000.0)
	assert.Equal(t, s.watcher.last.Request, lookupKey("/lookup/1"))
	assert.Equal(t, s.ask(t.Context(), "/lookup/2").body.String(), "done")
}

// It is found out while its first attempt is under way. The second isn't made,
// and the caller is told that it may have run.
func TestRequestHeldBetweenItsAttempts(t *testing.T) {
	s := newStage(t, all(), always(""), always(""))
	for _, e := range s.engines {
		e.script = func(int, *http.Request) string {
			s.watcher.mu.Lock()
			defer s.watcher.mu.Unlock()
			s.watcher.hold = map[quarantine.Key]time.Duration{lookupKey("/lookup/1"): time.Minute}
			return ""
		}
	}
	got := s.ask(t.Context(), "/lookup/1")
	assert.Equal(t, s.runs(), 1)
	assert.Equal(t, *got.refusal, Refusal{Reason: Quarantined, Verdict: verdict.MayHaveRun, RetryAfter: time.Minute})
}

// The first piece of an answer shows that a request can be run; a head alone
// doesn't.
func TestFirstPieceIsTold(t *testing.T) {
	s := newStage(t, all(), always(whole(200, "done")))
	s.ask(t.Context(), "/lookup/1")
	assert.DeepEqual(t, s.watcher.ran, []quarantine.Key{lookupKey("/lookup/1")})
	s = newStage(t, all(), always(head()+"cut"))
	s.ask(t.Context(), "/once/1")
	assert.Equal(t, len(s.watcher.ran), 0)
}
