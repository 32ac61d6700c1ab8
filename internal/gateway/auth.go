package gateway

import (
	"net/http"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/problem"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// shutdownRetryAfter is the Retry-After of a daemon that is not ready or is
// shutting down. The caller may try another entry at once; 1 s is the least
// delay above 0 that the header can carry.
const shutdownRetryAfter = time.Second

// authHandler serves a request of an authenticated workspace.
type authHandler func(w http.ResponseWriter, r *http.Request, workspace fleet.WorkspaceID)

// authenticated passes requests with a valid bearer token on to next. The
// workspace is taken from the token only, so that a request can't act for
// another workspace.
func (g *Gateway) authenticated(operation string, next authHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if reason := g.opts.Readiness.NotReady(); reason != "" {
			g.fail(w, operation, problem.New(http.StatusServiceUnavailable, verdict.NotRun, "not ready: %s", reason).WithRetryAfter(shutdownRetryAfter))
			return
		}
		workspace, ok := g.opts.Identities.Identify(bearer(r))
		if !ok {
			w.Header().Set("WWW-Authenticate", "Bearer")
			g.fail(w, operation, problem.New(http.StatusUnauthorized, verdict.NotRun, "the bearer token is missing or not known"))
			return
		}
		next(w, r, workspace)
	}
}

// bearer returns the token of the Authorization header, empty where there is none.
func bearer(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}

// refuseIfStopping refuses new requests late in a shutdown, when callers have had
// time to drop this entry from their cached lists. Nothing was started, so
// the verdict is NotRun.
func (g *Gateway) refuseIfStopping() *problem.Problem {
	if !g.opts.Readiness.Refusing() {
		return nil
	}
	return problem.New(http.StatusServiceUnavailable, verdict.NotRun, "this entry is leaving; ask for the entries again").WithRetryAfter(shutdownRetryAfter)
}
