package forward_test

import (
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Guards against invalid answers that reach a caller over the hop, also through a daemon of an earlier release,
// which passes them on.
func TestInvalidAnswersAreBrokenOverTheHop(t *testing.T) {
	for _, earlierRelease := range []bool{false, true} {
		for name, serve := range map[string]http.HandlerFunc{
			"encoded": func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Encoding", "x")
				_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
			},
			"no-events": func(http.ResponseWriter, *http.Request) {},
			"several-requests": func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Add("Cyclamenbeam-Forward-Id", "another")
			},
		} {
			if name == "several-requests" && !earlierRelease {
				continue // an endpoint's header of this name is removed
			}
			for _, path := range []string{"/order/1", "/lookup/1", "/stream/1"} {
				if name == "no-events" && path != "/stream/1" {
					continue
				}
				e := newHopEngine(t, func(w http.ResponseWriter, r *http.Request) {
					if earlierRelease {
						w.Header().Set("Cyclamenbeam-Forward-Id", "r1")
					}
					serve(w, r)
				})
				address := e.address()
				if !earlierRelease {
					address = newHopDaemon(t, e.address()).address
				}
				out := newHopDaemon(t, "", address).send(t.Context(), path, "")
				assert.Assert(t, !out.ended && !out.aborted && out.refusal != nil, "%s %s, earlier release: %v", name, path, earlierRelease)
				assert.DeepEqual(t, *out.refusal, relay.Refusal{Reason: relay.Broken, Verdict: verdict.MayHaveRun})
			}
		}
	}
}
