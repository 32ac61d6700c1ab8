package relay

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A request ends two endpoints, comes again and ends two more. What the log says
// must name it as one request, and another one otherwise.
func TestCutsNameTheRequestThatComesAgain(t *testing.T) {
	s := newStage(t, all(), always(""), always(""), always(""), always(""))
	for _, path := range []string{"/lookup/a", "/lookup/a", "/lookup/b"} {
		s.ask(t.Context(), path)
	}
	cuts := s.watcher.cuts
	assert.Equal(t, len(cuts), 6)
	for _, c := range cuts {
		assert.Assert(t, !c.Begun)
	}
	assert.Equal(t, cuts[0].Request, cuts[3].Request)
	assert.Assert(t, cuts[0].Request != cuts[4].Request)
	assert.Equal(t, s.watcher.last.Request, cuts[5].Request)
}

// A stream is cut after its first event: the endpoint had run it for a while.
func TestCutStreamHadBegun(t *testing.T) {
	s := newStage(t, all(), always(head()+chunk("id: 1\ndata: a\n\nid: 2\ndata: cut")))
	s.ask(t.Context(), "/once/1")
	assert.Equal(t, len(s.watcher.cuts), 1)
	assert.Assert(t, s.watcher.cuts[0].Begun)
}

// A caller leaves, and the connection to the endpoint is closed for that.
func TestLeavingCallerIsNoCut(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	s := newStage(t, all(), &engine{script: func(int, *http.Request) string { leave(); return "" }})
	s.ask(ctx, "/lookup/1")
	assert.Equal(t, len(s.watcher.cuts), 0)
}
