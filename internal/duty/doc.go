// Package duty is what one daemon at a time does for all, under a lease: the
// reports of usage and the orders for endpoints.
package duty

import (
	"context"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Fence is under which right a call is made.
type Fence struct {
	Holder fleet.InstanceID
	// Token rises with each change of the holder.
	Token uint64
}

// Usage is the requests of a window that began to run, by workspace.
type Usage struct {
	Window uint64 // starts Window times the window's length after 1970
	Begun  map[fleet.WorkspaceID]uint64
}

// Order asks for a number of endpoints.
type Order struct {
	Service    string
	DataCentre fleet.DataCentre
	Spot       bool // of the reclaimable class
	Count      int
}

// Cloud is the platform's side of the duties. An error leaves open whether the
// call took effect, unless its verdict is not-run.
type Cloud interface {
	Report(ctx context.Context, f Fence, u Usage) error
	Order(ctx context.Context, f Fence, o Order) error
}
