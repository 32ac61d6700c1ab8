package gateway

import (
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/settings"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Options configure a Gateway. All fields are required.
type Options struct {
	Requests   Requests
	Services   Services
	Directory  Directory
	Identities Identities
	Readiness  Readiness
	Observer   Observer
	Metrics    http.HandlerFunc
	Limits     settings.Limits
	EntriesAge time.Duration // how long callers may cache the list of entries
	Log        *logrus.Entry
}

// Gateway serves the callers' API.
type Gateway struct {
	opts Options
	mux  *http.ServeMux
	open atomic.Int64 // HTTP requests being served
}

func New(o Options) *Gateway {
	g := &Gateway{opts: o, mux: http.NewServeMux()}
	g.mux.HandleFunc("GET /healthz", g.health)
	g.mux.HandleFunc("GET /readyz", g.ready)
	g.mux.HandleFunc("GET /metrics", o.Metrics)
	g.mux.HandleFunc("GET /v1/entries", g.entries)
	g.mux.HandleFunc("POST /v1/chat/completions", g.authenticated("completion", g.completions))
	g.mux.HandleFunc("GET /v1/requests/{id}", g.authenticated("request", g.getRequest))
	g.mux.HandleFunc("DELETE /v1/requests/{id}", g.authenticated("cancel", g.cancelRequest))
	g.mux.HandleFunc("GET /v1/requests/{id}/events", g.authenticated("events", g.requestEvents))
	g.mux.HandleFunc("/v1/services/{service}/{path...}", g.authenticated("service", g.service))
	g.mux.HandleFunc("/", g.notFound)
	return g
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	defer g.recover(w, r)
	g.mux.ServeHTTP(w, r)
}

// Idle reports whether no HTTP request is being served.
func (g *Gateway) Idle() bool { return g.open.Load() == 0 }

// recover answers a request whose handler panicked, rather than letting the
// server close the connection without a response. The request may have been
// dispatched, so the verdict is MayHaveRun.
func (g *Gateway) recover(w http.ResponseWriter, r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v == http.ErrAbortHandler {
		panic(v)
	}
	g.opts.Log.WithField("path", r.URL.Path).Errorf("panic: %v", v)
	problem.Write(w, problem.New(http.StatusInternalServerError, verdict.MayHaveRun, "internal error"))
}

func (g *Gateway) notFound(w http.ResponseWriter, r *http.Request) {
	g.fail(w, "unknown", problem.New(http.StatusNotFound, verdict.NotRun, "nothing is served at %s", r.URL.Path))
}

func (g *Gateway) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (g *Gateway) ready(w http.ResponseWriter, _ *http.Request) {
	if reason := g.opts.Readiness.NotReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

// fail writes a problem as the response and counts it.
func (g *Gateway) fail(w http.ResponseWriter, operation string, p *problem.Problem) {
	g.opts.Observer.Answered(operation, p.Status)
	problem.Write(w, p)
}
