package forward_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

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

// Guards against reports that name no endpoint or daemon, or don't tell old connections from new ones.
func TestSpoiledStreamsAreReportedOverTheHop(t *testing.T) {
	spoils := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cyclamenbeam-Forward-Id", "r1")
		if strings.HasPrefix(r.URL.Path, "/stream/") {
			_, _ = io.WriteString(w, "id: 1\ndata: a\n\nx7 noise\n\n")
		}
	}
	e := newHopEngine(t, spoils)
	b := newHopDaemon(t, e.address())
	a := newHopDaemon(t, "", b.address)
	now := time.Now()
	b.relay.Serve(t.Context(), &relay.Request{ // another ID: a request is not sent twice on a connection
		ID: "r0", Method: "POST", Target: "/lookup/1", Path: "/lookup/1", Host: "h", Key: "secret",
		Header: http.Header{}, Received: now, Deadline: now.Add(5 * time.Second),
	}, &hopSink{})
	a.send(t.Context(), "/stream/1", "")
	got := b.reports()
	assert.Assert(t, len(got) > 0)
	assert.DeepEqual(t, got[0], relay.InvalidAnswer{
		Request: got[0].Request, Endpoint: "e1", Service: "s", Kind: "not-a-field", After: "1", Text: "x7 noise", Reused: true,
	})

	earlier := newHopEngine(t, spoils).address()
	c := newHopDaemon(t, "", earlier)
	c.send(t.Context(), "/stream/1", "")
	got = c.reports()
	assert.Assert(t, len(got) > 0)
	assert.Equal(t, got[0].Via, earlier)
	assert.Equal(t, string(got[0].Kind), "not-a-field")
	assert.Assert(t, !got[0].Reused)
}
