package template

import (
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// ModelSpec is a model that engines must hold for the template's workspaces.
type ModelSpec struct {
	Model         Scalar      `json:"model"`
	Adapter       Scalar      `json:"adapter,omitempty"`
	Version       Scalar      `json:"version,omitempty"`     // empty: any
	MinReplicas   Scalar      `json:"minReplicas,omitempty"` // whole number of engines, default 1
	Latency       LatencySpec `json:"latency,omitzero"`
	NonIdempotent bool        `json:"nonIdempotent,omitempty"` // its completions must run at most once
}

// parametrised reports whether the model differs between workspaces.
func (m ModelSpec) parametrised() bool {
	all := [...]Scalar{m.Model, m.Adapter, m.Version, m.MinReplicas, m.Latency.FirstToken, m.Latency.BetweenTokens}
	return slices.ContainsFunc(all[:], Scalar.parametrised)
}

// LatencySpec is the latency that 95 of 100 completions must meet. Durations
// are written as 1500ms or 1.5s.
type LatencySpec struct {
	FirstToken    Scalar `json:"firstToken,omitempty"`    // from acceptance to the first token
	BetweenTokens Scalar `json:"betweenTokens,omitempty"` // mean over an answer
}

// ServiceSpec is a plain service. Calls that it doesn't list may be repeated.
type ServiceSpec struct {
	Name          string     `json:"name"`
	NonIdempotent []CallSpec `json:"nonIdempotent,omitempty"`
}

// CallSpec describes calls of a service. In Path a segment * stands for any one
// segment, and ** at the end for any rest: /orders, /orders/*/lines, /admin/**.
type CallSpec struct {
	Method string `json:"method"` // in capitals, * for any
	Path   string `json:"path"`
}

// ClosingSpec says when the workspaces' work peaks.
type ClosingSpec struct {
	At       Scalar `json:"at"`                 // RFC 3339: the end of the closing
	Window   Scalar `json:"window"`             // duration before At in which the work arrives
	Priority Scalar `json:"priority,omitempty"` // 0 to 100, greater goes first; default 0
}

// WeightsSpec weighs the two measures of the brief against each other. Only
// their ratio counts; both absent is 1 to 1.
type WeightsSpec struct {
	Recompute Scalar `json:"recompute,omitempty"` // of tokens that had to be recomputed
	Cost      Scalar `json:"cost,omitempty"`      // of cost at the latency target
}

// DefaultsSpec holds what workspaces use where they state nothing.
type DefaultsSpec struct {
	Limits   LimitsSpec `json:"limits,omitzero"`
	Priority Scalar     `json:"priority,omitempty"`
	Weight   Scalar     `json:"weight,omitempty"`
}

// WorkspaceSpec is a workspace's share in the template.
type WorkspaceSpec struct {
	Name       fleet.WorkspaceID `json:"name"`
	Parameters map[string]string `json:"parameters,omitempty"`
	Models     []ModelUse        `json:"models,omitempty"`   // it may use; none: all of the template
	Services   []string          `json:"services,omitempty"` // it may call; none: all of the template
	Limits     LimitsSpec        `json:"limits,omitzero"`
	Priority   Scalar            `json:"priority,omitempty"` // 0 to 100 among workspaces, default 0
	Weight     Scalar            `json:"weight,omitempty"`   // share under contention, default 1
	Tokens     []TokenSpec       `json:"tokens,omitempty"`
}

// ModelUse names models of the template. An empty Adapter stands for each.
type ModelUse struct {
	Model   Scalar `json:"model"`
	Adapter Scalar `json:"adapter,omitempty"`
}

// LimitsSpec bounds a workspace over the whole fleet. An absent limit, or 0,
// is none.
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
