package integration

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cyclamenbeam/cyclamenbeam/internal/deployment"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// gateFault is what a store gate does at the next change of a template.
type gateFault uint8

const (
	gatePasses      gateFault = iota
	gateFailsAfter            // the change is answered, and the store answers nothing more
	gateLosesAnswer           // not even the change is answered
)

// storeGate stands between daemons and the object API, and takes the API away
// in the very moment in which a change takes effect: the daemon that wrote it
// is then the only one that can know of it.
type storeGate struct {
	server *httptest.Server
	target string // base URL of the object API

	mu    sync.Mutex
	fault gateFault
	life  context.Context // of calls; over while the API is away
	end   context.CancelFunc
}

// newStoreGate returns a gate that passes everything on. Its target is set by
// before.
func newStoreGate(t testing.TB) *storeGate {
	g := &storeGate{}
	g.mend()
	g.server = httptest.NewServer(g)
	t.Cleanup(func() {
		g.fail()
		g.server.Close()
	})
	return g
}

// before puts the gate before the object API of all entries.
func (g *storeGate) before(l *deployment.Layout) {
	g.target = "http://" + l.Standin.Platform
	for i := range l.Entries {
		l.Entries[i].Platform.Objects = g.server.URL
	}
}

// arm sets the fault of the next change.
func (g *storeGate) arm(f gateFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = f
}

// fail takes the API away.
func (g *storeGate) fail() { g.end() }

// mend gives the API back.
func (g *storeGate) mend() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.life, g.end = context.WithCancel(context.Background())
	g.fault = gatePasses
}

// state returns the life of calls and the fault that is due.
func (g *storeGate) state() (context.Context, gateFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.life, g.fault
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	life, fault := g.state()
	change := r.Method == http.MethodPut && strings.HasPrefix(r.URL.Path, objectapi.ObjectsPath+template.Kind+"/")
	switch {
	case life.Err() != nil:
		panic(http.ErrAbortHandler)
	case change && fault != gatePasses:
		g.fail() // before the change: no watch may bring it to anybody
		g.pass(r.Context(), w, r, fault == gateFailsAfter)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(life, cancel)()
	g.pass(ctx, w, r, true)
}

// pass makes the call, and answers it or not.
func (g *storeGate) pass(ctx context.Context, w http.ResponseWriter, r *http.Request, answers bool) {
	pass(ctx, w, r, g.target, answers)
}

// pass makes a call at another base URL, and answers it or not.
func pass(ctx context.Context, w http.ResponseWriter, r *http.Request, target string, answers bool) {
	out, err := http.NewRequestWithContext(ctx, r.Method, target+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	out.Header = r.Header
	resp, err := http.DefaultTransport.RoundTrip(out)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = resp.Body.Close() }()
	if !answers {
		panic(http.ErrAbortHandler)
	}
	maps.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(w, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}
