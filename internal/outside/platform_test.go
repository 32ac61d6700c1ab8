package outside

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/budget"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/outsidetest"
	"gotest.tools/v3/assert"
)

// plenty is a budget that delays no test.
var plenty = budget.Config{
	FleetSize: 1,
	Fleet:     budget.Rates{1e6, 1e6, 1e6, 1e6, 1e6},
}

// recorder records the calls that it observes.
type recorder struct {
	mu    sync.Mutex
	calls []Call
}

func (r *recorder) Called(c Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

func (r *recorder) results() []Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	var results []Result
	for _, c := range r.calls {
		results = append(results, c.Result)
	}
	return results
}

// connect returns clients of one handler that serves as every API.
func connect(t *testing.T, h http.Handler, config budget.Config) (*Clients, *outsidetest.Network, *recorder) {
	t.Helper()
	network := outsidetest.Serve(t, h)
	seen := &recorder{}
	clients, err := New(Options{
		Objects:   "http://objects.test",
		Instances: "http://list.test",
		Cloud:     "http://cloud.test",
		Weights:   "http://weights.test",
		Budget:    config,
		Observer:  seen,
		Seed:      1,
		Transport: network.Transport(t),
	})
	assert.NilError(t, err)
	t.Cleanup(clients.Close)
	return clients, network, seen
}

func contextWithTimeout(t *testing.T, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), d)
}
