package relay

import (
	"context"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// A request crashes two endpoints, is repeated under the same path and crashes two
// more. The reports must identify both as one request, and a different request as
// another.
func TestCutsIdentifyARepeatedRequest(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(""), alwaysAnswers(""), alwaysAnswers(""), alwaysAnswers(""))
	for _, path := range []string{"/lookup/a", "/lookup/a", "/lookup/b"} {
		s.send(t.Context(), path)
	}
	cuts := s.recorder.cuts
	assert.Equal(t, len(cuts), 6)
	for _, c := range cuts {
		assert.Assert(t, c.FirstPiece.IsZero())
	}
	assert.Equal(t, cuts[0].Request.Request, cuts[3].Request.Request)
	assert.Assert(t, cuts[0].Request.Request != cuts[4].Request.Request)
	assert.Equal(t, s.recorder.last.RequestKey, cuts[5].Request.Request)
}

// A stream is cut after its first event. The report must say when that arrived.
func TestCutStreamHadBegun(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(streamHead()+chunk("id: 1\ndata: a\n\nid: 2\ndata: cut")))
	s.send(t.Context(), "/once/1")
	assert.Equal(t, len(s.recorder.cuts), 1)
	first, end := s.recorder.cuts[0].FirstPiece, s.recorder.cuts[0].EndedAt
	assert.Assert(t, !first.IsZero() && !first.After(end))
}

// A caller leaves, and the connection to the endpoint is closed for that reason. It
// must not be reported as closed by the endpoint.
func TestCallerThatLeavesIsNotReportedAsACut(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	s := newFixture(t, testRoutes(), &engine{script: func(int, *http.Request) string { leave(); return "" }})
	s.send(ctx, "/lookup/1")
	assert.Equal(t, len(s.recorder.cuts), 0)
}
