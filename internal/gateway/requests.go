package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
)

// getRequest serves GET /v1/requests/{id}: the whole answer, once it is complete.
func (g *Gateway) getRequest(w http.ResponseWriter, r *http.Request, workspace fleet.WorkspaceID) {
	m, a, p := g.findAnswer(r, workspace)
	if p != nil {
		g.fail(w, "request", p)
		return
	}
	defer a.Close()
	w.Header().Set(RequestIDHeader, string(m.id))
	g.sendWhole(w, r, "request", m, a)
}

// requestEvents serves GET /v1/requests/{id}/events: the answer's events after
// the last one that the caller received, named by Last-Event-ID.
func (g *Gateway) requestEvents(w http.ResponseWriter, r *http.Request, workspace fleet.WorkspaceID) {
	from, p := lastEventID(r)
	if p != nil {
		g.fail(w, "events", p)
		return
	}
	m, a, p := g.findAnswer(r, workspace)
	if p != nil {
		g.fail(w, "events", p)
		return
	}
	defer a.Close()
	w.Header().Set(RequestIDHeader, string(m.id))
	g.stream(w, r, "events", m, a, from)
}

// cancelRequest serves DELETE /v1/requests/{id}. For callers that are reading the
// answer, it ends. Cancelling a finished request has no effect.
func (g *Gateway) cancelRequest(w http.ResponseWriter, r *http.Request, workspace fleet.WorkspaceID) {
	id, err := uuid.Parse(r.PathValue("id"))
	if err != nil {
		g.fail(w, "cancel", badRequest("the request id is not a UUID"))
		return
	}
	if p := g.opts.Requests.Cancel(r.Context(), workspace, fleet.RequestID(id.String())); p != nil {
		g.fail(w, "cancel", p.ForRequest(id.String()))
		return
	}
	g.opts.Observer.Answered("cancel", http.StatusNoContent)
	w.WriteHeader(http.StatusNoContent)
}

func (g *Gateway) findAnswer(r *http.Request, workspace fleet.WorkspaceID) (meta, Answer, *problem.Problem) {
	id, err := uuid.Parse(r.PathValue("id"))
	if err != nil {
		return meta{}, nil, badRequest("the request id is not a UUID")
	}
	now := time.Now()
	m := meta{id: fleet.RequestID(id.String()), created: now, start: now}
	a, p := g.opts.Requests.Find(r.Context(), workspace, m.id)
	if p != nil {
		return m, nil, p.ForRequest(string(m.id))
	}
	m.model = a.Model()
	return m, a, nil
}

// lastEventID returns the value of Last-Event-ID, which is the number of tokens
// that the caller has received; 0 without the header.
func lastEventID(r *http.Request) (int, *problem.Problem) {
	v := r.Header.Get("Last-Event-ID")
	if v == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 {
		return 0, badRequest("Last-Event-ID must be the id of an event of this answer")
	}
	return n, nil
}
