// Package weightapi holds the wire types and paths of the weight store, shared
// by the client and by the stand-in that replaces the store in tests.
package weightapi

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// WeightsPath is the path of the API.
// GET ?model=M&adapter=A&version=V: Weights, or 429 with Retry-After.
const WeightsPath = "/weights"

// Weights describes a model's weights.
type Weights struct {
	Model fleet.ModelRef `json:"model"`
	Bytes int64          `json:"bytes"`
}
