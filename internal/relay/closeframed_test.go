package relay

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// closeFramed returns an answer with neither a length nor chunks, which ends with its
// connection.
func closeFramed(body string) string { return "HTTP/1.1 200 OK\r\nId: ID\r\n\r\n" + body }

// crash returns an answer after which the engine accepts no more connections.
func (e *engine) crash(answer string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.gone = true
	return answer
}

// thenCrashes returns an engine that answers one request and crashes.
func thenCrashes(answer string) *engine {
	e := &engine{}
	e.script = func(int, *http.Request) string { return e.crash(answer) }
	return e
}

const (
	oneEvent  = "id: 1\ndata: a\n\n"
	twoEvents = oneEvent + "id: 2\ndata: b\n\n"
)

// Guards against whole answers without a length that count as broken.
func TestAnswerThatEndsWithItsConnectionIsWhole(t *testing.T) {
	for path, body := range map[string]string{"/order/1": "done", "/lookup/1": "", "/once/1": twoEvents, "/stream/1": twoEvents} {
		s := newFixture(t, testRoutes(), alwaysAnswers(closeFramed(body)))
		got := s.send(t.Context(), path)
		assert.Assert(t, got.ended && !got.aborted, path)
		assert.Equal(t, got.body.String(), body, path)
		assert.Equal(t, s.runs(), 1, path)
		assert.Equal(t, len(s.recorder.ran), 1, path)
		assert.Equal(t, len(s.recorder.cuts), 0, path)
	}
}

// Guards against a crash that looks like the end of an answer without a length.
func TestAnswerIsBrokenWhereItsEndpointCrashesAtItsEnd(t *testing.T) {
	for _, c := range []struct{ path, body string }{
		{"/order/1", ""}, {"/order/1", "part"}, {"/once/1", ""}, {"/once/1", oneEvent}, {"/once/1", oneEvent + "id: 2\nda"},
	} {
		s := newFixture(t, testRoutes(), thenCrashes(closeFramed(c.body)))
		got := s.send(t.Context(), c.path)
		assert.Assert(t, !got.ended, "%s %q: complete", c.path, c.body)
		assert.Equal(t, s.recorder.last.Reason, Broken, "%s %q", c.path, c.body)
		assert.Equal(t, len(s.recorder.cuts), 1, "%s %q", c.path, c.body)
		assert.Equal(t, len(s.recorder.ran), 0, "%s %q", c.path, c.body)
		if got.refusal != nil {
			assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
		}
	}
}

// Guards against a stream that ends as complete where a crash has cut it between events.
func TestStreamGoesOnWhereItsEndpointCrashesBetweenEvents(t *testing.T) {
	s := newFixture(t, testRoutes(), &engine{}, &engine{})
	for _, e := range s.engines {
		e.script = func(_ int, r *http.Request) string {
			if r.Header.Get("After") != "" {
				return closeFramed("id: 2\ndata: b\n\n")
			}
			return e.crash(closeFramed(oneEvent))
		}
	}
	got := s.send(t.Context(), "/stream/1")
	assert.Equal(t, s.runs(), 2)
	assert.Equal(t, got.body.String(), twoEvents)
	assert.Assert(t, got.ended && !got.aborted)
}

// Guards against a short answer where a repeat would bring a whole one.
func TestLookupIsRepeatedWhereItsAnswersEndIsUnconfirmed(t *testing.T) {
	s := newFixture(t, testRoutes(), &engine{}, &engine{})
	for _, e := range s.engines {
		e.script = func(int, *http.Request) string {
			if s.runs() == 1 {
				return e.crash(closeFramed("pa"))
			}
			return response(200, "done")
		}
	}
	got := s.send(t.Context(), "/lookup/1")
	assert.Equal(t, got.body.String(), "done")
}
