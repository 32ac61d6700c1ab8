package gateway

import (
	"net/http"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
)

// service serves /v1/services/{service}/… with any method: a call of a plain
// service.
func (g *Gateway) service(w http.ResponseWriter, r *http.Request, workspace fleet.WorkspaceID) {
	c, p := g.readServiceCall(w, r, workspace)
	if p == nil {
		p = g.refuseIfStopping()
	}
	if p != nil {
		g.fail(w, "service", p)
		return
	}
	if c.Key != "" {
		w.Header().Set(RequestIDHeader, string(c.Key))
	}
	a, p := g.opts.Services.Call(r.Context(), c)
	if p != nil {
		g.fail(w, "service", p.ForRequest(string(c.Key)))
		return
	}
	g.opts.Observer.Answered("service", a.Status)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(g.opts.Limits.WriteTimeout))
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

func (g *Gateway) readServiceCall(w http.ResponseWriter, r *http.Request, workspace fleet.WorkspaceID) (*ServiceCall, *problem.Problem) {
	key, p := idempotencyKey(r, time.Now())
	if p != nil {
		return nil, p
	}
	body, p := g.readBody(w, r)
	if p != nil {
		return nil, p
	}
	c := &ServiceCall{
		Workspace: workspace,
		Service:   r.PathValue("service"),
		Method:    r.Method,
		Path:      "/" + r.PathValue("path"),
		Query:     r.URL.RawQuery,
		Header:    r.Header,
		Body:      body,
		Key:       key,
	}
	c.NonIdempotent = g.opts.Identities.NonIdempotent(c.Service, c.Method, c.Path)
	if c.NonIdempotent && key == "" {
		return nil, badRequest("%s %s must not run twice: send an Idempotency-Key, a UUIDv7", c.Method, c.Path)
	}
	return c, nil
}
