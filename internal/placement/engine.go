package placement

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Engine is a model engine's last report.
type Engine struct {
	ID         fleet.EndpointID
	DataCentre fleet.DataCentre
	Role       string // empty: none yet
	Capacity   int    // models that it can hold at once
	Leaving    bool   // under notice or draining
	Holds      []Held
}

// Held is a model that an engine has loaded or is loading.
type Held struct {
	Model   fleet.ModelRef
	Ready   bool // loaded
	Running int  // requests in progress that use it
}

// Replica identifies a model on an engine.
type Replica struct {
	Engine fleet.EndpointID
	Model  fleet.ModelRef
}
