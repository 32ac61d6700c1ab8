package load

import (
	"context"
	"time"
)

// Fault is an action on the deployment during a run.
type Fault struct {
	Name string
	// At is the time since the start of the run.
	At time.Duration
	// Do runs in a goroutine of its own. Its context ends with the run.
	Do func(ctx context.Context)
}

// FaultRecord is the record of a fault in a result.
type FaultRecord struct {
	Name     string `json:"name"`
	AtMillis int64  `json:"atMillis"`
}
