package gateway

import (
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
)

// RequestIDHeader is the header of responses that carries the request's id.
const RequestIDHeader = "Cyclamenbeam-Request"

// completions serves POST /v1/chat/completions.
func (g *Gateway) completions(w http.ResponseWriter, r *http.Request, workspace fleet.WorkspaceID) {
	start := time.Now()
	s, stream, p := g.readSubmission(w, r, workspace)
	if p == nil {
		p = g.refuseIfStopping()
	}
	if p != nil {
		g.fail(w, "completion", p)
		return
	}
	w.Header().Set(RequestIDHeader, string(s.ID))
	answer, p := g.opts.Requests.Submit(r.Context(), s)
	if p != nil {
		g.fail(w, "completion", p.ForRequest(string(s.ID)))
		return
	}
	defer answer.Close()
	m := meta{id: s.ID, model: s.Completion.Model, created: start, start: start}
	if stream {
		g.stream(w, r, "completion", m, answer, 0)
		return
	}
	g.sendWhole(w, r, "completion", m, answer)
}

// readSubmission reads and validates a completion request. It also reports
// whether the caller asks for a stream.
func (g *Gateway) readSubmission(w http.ResponseWriter, r *http.Request, workspace fleet.WorkspaceID) (*Submission, bool, *problem.Problem) {
	id, p := idempotencyKey(r, time.Now())
	if p != nil {
		return nil, false, p
	}
	body, p := g.readBody(w, r)
	if p != nil {
		return nil, false, p
	}
	decoded, p := g.decodeCompletion(body)
	if p != nil {
		return nil, false, p
	}
	s := &Submission{
		ID:         id,
		Workspace:  workspace,
		KeySent:    id != "",
		Completion: decoded.engineRequest(),
		Body:       body,
	}
	if !s.KeySent {
		s.ID = fleet.RequestID(uuid.Must(uuid.NewV7()).String())
	}
	return s, decoded.Stream, nil
}
