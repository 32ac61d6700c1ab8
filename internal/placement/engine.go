package placement

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Engine is a model engine as it was reported last.
type Engine struct {
	ID         fleet.EndpointID
	DataCentre fleet.DataCentre
	Role       string // empty while it has none
	Capacity   int    // models that it can hold at once
	Leaving    bool   // under notice or draining
	Holds      []Held
}

// Held is a model on an engine.
type Held struct {
	Model   fleet.ModelRef
	Ready   bool // false while it loads
	Running int  // requests that use it
}

// Replica names a model on an engine.
type Replica struct {
	Engine fleet.EndpointID
	Model  fleet.ModelRef
}
