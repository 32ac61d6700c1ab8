// Package weightapi holds the wire types and paths of the weight store, shared
// by the client and the stand-in.
package weightapi

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// WeightsPath is GET ?model=M&adapter=A&version=V: Weights, or 429 with Retry-After.
const WeightsPath = "/weights"

// Weights describes a model's weights.
type Weights struct {
	Model fleet.ModelRef `json:"model"`
	Bytes int64          `json:"bytes"`
}
