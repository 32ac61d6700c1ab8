package template

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Limits bounds a workspace's use of the whole fleet; 0 is no limit.
type Limits struct {
	RequestsPerSecond float64
	Burst             float64 // requests above the rate
	TokensPerSecond   float64
	TokenBurst        float64 // tokens above the rate
	Concurrency       int     // requests that run at once
	MaxTokens         int     // of one answer
}

// Latency is the target for the 95th percentile of completions; 0 is no target.
type Latency struct {
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Model is a model with the parameters resolved.
type Model struct {
	Ref           fleet.ModelRef
	MinReplicas   int // engines that must have it loaded
	Latency       Latency
	NonIdempotent bool // its completions must run at most once
}

// Closing is a workspace's closing with the parameters resolved.
type Closing struct {
	Template  string
	Workspace fleet.WorkspaceID
	At        time.Time     // the deadline
	Window    time.Duration // time before At in which the work arrives
	Priority  int           // 0 to 100, greater goes first
	Weights   Weights
}

// Weights weighs recomputed tokens against cost; the two sum to 1.
type Weights struct {
	Recompute float64
	Cost      float64
}

// Token is a bearer token of a workspace's callers.
type Token struct {
	Hash    [32]byte  // SHA-256 of the token
	Expires time.Time // zero: never
}

// Workspace holds what request handlers use of a workspace. It is immutable.
type Workspace struct {
	ID       fleet.WorkspaceID
	Limits   Limits
	Priority int     // 0 to 100, greater goes first
	Weight   float64 // share under contention
	Models   []Model // those it may use, in the template's order
	Services []string
	Closings []Closing // one per template
}

// Model returns the model that serves a request for a model and adapter. With
// an empty adapter it prefers a model without one, else it returns the first of
// that name.
func (w *Workspace) Model(model, adapter string) (Model, bool) {
	first := -1
	for i := range w.Models {
		ref := w.Models[i].Ref
		if ref.Model != model {
			continue
		}
		if ref.Adapter == adapter {
			return w.Models[i], true
		}
		if first < 0 {
			first = i
		}
	}
	if adapter != "" || first < 0 {
		return Model{}, false
	}
	return w.Models[first], true
}

// MayCall reports whether the workspace may call a plain service.
func (w *Workspace) MayCall(service string) bool {
	for _, s := range w.Services {
		if s == service {
			return true
		}
	}
	return false
}
