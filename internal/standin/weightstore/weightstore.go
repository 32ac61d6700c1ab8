// Package weightstore is a stand-in of the platform's weight store (package
// weightapi). It describes weights and limits the rate of requests.
package weightstore

import (
	"math"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/outside/jsonio"
	"github.com/cyclamenbeam/cyclamenbeam/internal/weightapi"
)

// Store answers for every model. All methods are safe for concurrent use.
type Store struct {
	options Options
	mu      sync.Mutex
	tokens  float64 // requests that may be answered now
	filled  time.Time
}

// New returns a store whose burst is full.
func New(o Options) *Store {
	o = o.withDefaults()
	return &Store{options: o, tokens: float64(o.Burst), filled: time.Now()}
}

// Handler returns the store's HTTP surface.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+weightapi.WeightsPath, s.serveWeights)
	return mux
}

func (s *Store) serveWeights(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	ref := fleet.ModelRef{Model: query.Get("model"), Adapter: query.Get("adapter"), Version: query.Get("version")}
	if ref.Model == "" {
		jsonio.Fail(w, http.StatusBadRequest, "a request for weights names a model")
		return
	}
	if wait := s.take(time.Now()); wait > 0 {
		seconds := int(math.Ceil(wait.Seconds()))
		w.Header().Set("Retry-After", strconv.Itoa(seconds))
		jsonio.Fail(w, http.StatusTooManyRequests, "the weight store's rate is used up")
		return
	}
	jsonio.Write(w, http.StatusOK, weightapi.Weights{Model: ref, Bytes: s.options.bytesOf(ref)})
}

// take takes one request from the rate, or says how long until there is one.
func (s *Store) take(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	gained := now.Sub(s.filled).Seconds() * s.options.PerSecond
	s.tokens = min(float64(s.options.Burst), s.tokens+gained)
	s.filled = now
	if s.tokens >= 1 {
		s.tokens--
		return 0
	}
	return time.Duration((1 - s.tokens) / s.options.PerSecond * float64(time.Second))
}
