package template

import (
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// ModelSpec is a model that engines must have loaded for the template's
// workspaces.
type ModelSpec struct {
	Model         Scalar      `json:"model"`
	Adapter       Scalar      `json:"adapter,omitempty"`
	Version       Scalar      `json:"version,omitempty"`     // empty: any
	MinReplicas   Scalar      `json:"minReplicas,omitempty"` // whole number of engines, default 1
	Latency       LatencySpec `json:"latency,omitzero"`
	NonIdempotent bool        `json:"nonIdempotent,omitempty"` // its completions must run at most once
}

// parametrised reports whether any field of the model refers to a parameter.
func (m ModelSpec) parametrised() bool {
	all := [...]Scalar{m.Model, m.Adapter, m.Version, m.MinReplicas, m.Latency.FirstToken, m.Latency.BetweenTokens}
	return slices.ContainsFunc(all[:], Scalar.parametrised)
}

// LatencySpec is the target for the 95th percentile of completions. Durations
// are written as 1500ms or 1.5s.
type LatencySpec struct {
	FirstToken    Scalar `json:"firstToken,omitempty"`    // from acceptance to the first token
	BetweenTokens Scalar `json:"betweenTokens,omitempty"` // mean over an answer
}

// ServiceSpec is a plain service. Calls that it doesn't list may be retried.
type ServiceSpec struct {
	Name          string     `json:"name"`
	NonIdempotent []CallSpec `json:"nonIdempotent,omitempty"`
}

// CallSpec selects calls of a service. In Path a segment * matches any one
// segment, and ** at the end any number of segments: /orders, /orders/*/lines,
// /admin/**.
type CallSpec struct {
	Method string `json:"method"` // in capitals, * for any
	Path   string `json:"path"`
}

// ClosingSpec is the time and priority of the closing.
type ClosingSpec struct {
	At       Scalar `json:"at"`                 // RFC 3339: the end of the closing
	Window   Scalar `json:"window"`             // duration before At in which the work arrives
	Priority Scalar `json:"priority,omitempty"` // 0 to 100, greater goes first; default 0
}

// WeightsSpec weighs recomputed tokens against cost. Only the ratio matters; if
// both are absent it is 1 to 1.
type WeightsSpec struct {
	Recompute Scalar `json:"recompute,omitempty"` // of tokens that had to be recomputed
	Cost      Scalar `json:"cost,omitempty"`      // of cost at the latency target
}

// DefaultsSpec holds the values of workspaces that set none of their own.
type DefaultsSpec struct {
	Limits   LimitsSpec `json:"limits,omitzero"`
	Priority Scalar     `json:"priority,omitempty"`
	Weight   Scalar     `json:"weight,omitempty"`
}

// WorkspaceSpec describes a workspace within the template.
type WorkspaceSpec struct {
	Name       fleet.WorkspaceID `json:"name"`
	Parameters map[string]string `json:"parameters,omitempty"`
	Models     []ModelUse        `json:"models,omitempty"`   // those it may use; none: all of the template
	Services   []string          `json:"services,omitempty"` // those it may call; none: all of the template
	Limits     LimitsSpec        `json:"limits,omitzero"`
	Priority   Scalar            `json:"priority,omitempty"` // 0 to 100 among workspaces, default 0
	Weight     Scalar            `json:"weight,omitempty"`   // share under contention, default 1
	Tokens     []TokenSpec       `json:"tokens,omitempty"`
}

// ModelUse selects models of the template. An empty Adapter selects all
// adapters.
type ModelUse struct {
	Model   Scalar `json:"model"`
	Adapter Scalar `json:"adapter,omitempty"`
}

// LimitsSpec bounds a workspace's use of the whole fleet. A limit that is
// absent or 0 is no limit.
type LimitsSpec struct {
	RequestsPerSecond Scalar `json:"requestsPerSecond,omitempty"`
	Burst             Scalar `json:"burst,omitempty"` // requests above the rate
	TokensPerSecond   Scalar `json:"tokensPerSecond,omitempty"`
	TokenBurst        Scalar `json:"tokenBurst,omitempty"`  // tokens above the rate
	Concurrency       Scalar `json:"concurrency,omitempty"` // requests that run at once
	MaxTokens         Scalar `json:"maxTokens,omitempty"`   // of one answer
}

// TokenSpec is a bearer token of a workspace's callers.
type TokenSpec struct {
	SHA256  string `json:"sha256"`            // of the token, 64 hexadecimal digits
	Expires string `json:"expires,omitempty"` // RFC 3339; absent: never
}
