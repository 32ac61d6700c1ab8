package relay

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// behaviour is how an engine handles one request.
type behaviour struct {
	name   string
	answer string // empty: the connection is closed without one
	ran    bool   // the engine runs the request
}

var behaviours = []behaviour{
	{"answers", response(200, "done"), true},
	{"fails", response(500, "failed"), true},
	{"rejects", response(400, "bad"), true},
	{"refuses", response(503, ""), false},
	{"is another endpoint", response(421, ""), false},
	{"runs and sends no answer", "", true},
	{"closes the connection within its answer", "HTTP/1.1 200 X\r\nId: ID\r\nContent-Length: 9\r\n\r\ncut", true},
}

// randomEngine returns an engine that behaves as drawn and adds its runs to runs.
func randomEngine(rt *rapid.T, runs *atomic.Int64) *engine {
	plan := rapid.SliceOfN(rapid.SampledFrom(behaviours), 1, 4).Draw(rt, "behaviours")
	return &engine{script: func(n int, _ *http.Request) string {
		b := plan[n%len(plan)]
		if b.ran {
			runs.Add(1)
		}
		return b.answer
	}}
}

// Three engines answer, fail, refuse, close the connection or turn out to be
// others, in any order. An order must run at most once, and must not have run if it
// is reported as not run; a lookup may run as often as its route allows. An answer
// that the caller gets must be an engine's, and complete.
func TestRequestsRunNoMoreOftenThanAllowed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var runs atomic.Int64
		s := newFixture(t, testRoutes(), randomEngine(rt, &runs), randomEngine(rt, &runs), randomEngine(rt, &runs))
		path, maxRuns := "/order/1", int64(1)
		if rapid.Bool().Draw(rt, "may be repeated") {
			path, maxRuns = "/lookup/1", int64(lookupRoute.MaxAttempts)
		}
		got := s.send(t.Context(), path)
		assert.Assert(rt, runs.Load() <= maxRuns, "%s ran %d times", path, runs.Load())
		if got.refusal != nil {
			assert.Assert(rt, got.refusal.Verdict != verdict.NotRun || runs.Load() == 0, "reported as not run, ran %d times", runs.Load())
			return
		}
		assert.Assert(rt, got.ended && runs.Load() > 0)
		assert.Assert(rt, !strings.Contains(got.body.String(), "cut"))
	})
}
