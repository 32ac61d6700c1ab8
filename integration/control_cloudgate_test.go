package integration

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
)

// cloudGate stands between daemons and the cloud API and holds one launch on
// its way, for as long as a test wants.
type cloudGate struct {
	server   *httptest.Server
	target   string // base URL of the cloud API
	nth      int64  // launch that is held, from 1
	launches atomic.Int64
	reached  chan struct{} // closed when it is held
	release  chan struct{} // closed by the test
	passed   chan struct{} // closed when the cloud has answered it
}

func newCloudGate(t *testing.T, nth int64) *cloudGate {
	g := &cloudGate{
		nth:     nth,
		reached: make(chan struct{}),
		release: make(chan struct{}),
		passed:  make(chan struct{}),
	}
	g.server = httptest.NewServer(g)
	t.Cleanup(g.server.Close)
	return g
}

// before puts the gate before the cloud API of all entries.
func (g *cloudGate) before(l *deployment.Layout) {
	g.target = "http://" + l.Standin.Platform
	for i := range l.Entries {
		l.Entries[i].Platform.Cloud = g.server.URL
	}
}

// ServeHTTP implements http.Handler.
func (g *cloudGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	launch := r.Method == http.MethodPost && r.URL.Path == cloudapi.InstancesPath
	if !launch || g.launches.Add(1) != g.nth {
		pass(r.Context(), w, r, g.target, true)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	close(g.reached)
	<-g.release
	defer close(g.passed)
	r.Body = io.NopCloser(bytes.NewReader(body))
	pass(context.Background(), w, r, g.target, true) // who sent it may be gone
}
