// Package duty defines the calls to the platform that one daemon at a time, the
// holder of a lease, makes for all daemons: usage reports and orders for endpoints.
package duty

import (
	"context"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Fence identifies the lease under which a call is made, so that the platform can
// refuse the calls of an earlier holder.
type Fence struct {
	Holder fleet.InstanceID
	// Token is the fencing token; it increases with each change of the holder.
	Token uint64
}

// Usage is the number of requests that began to run in a time window, by workspace.
type Usage struct {
	Window uint64 // the window's number; it starts Window times its length after the Unix epoch
	Begun  map[fleet.WorkspaceID]uint64
}

// Order requests a number of endpoints of a service in a data centre.
type Order struct {
	Service    string
	DataCentre fleet.DataCentre
	Spot       bool // of the class that the platform may reclaim
	Count      int
}

// Cloud is the platform's API for these calls. After an error the call may or may
// not have taken effect, unless the error's verdict is not-run.
type Cloud interface {
	Report(ctx context.Context, f Fence, u Usage) error
	Order(ctx context.Context, f Fence, o Order) error
}
