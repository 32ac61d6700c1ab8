package placement

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Order is an order to an engine; the caller adds the fencing number.
type Order struct {
	Engine fleet.EndpointID
	Kind   engineapi.OrderKind
	Model  fleet.ModelRef
	Role   string
}

// Result is a plan.
type Result struct {
	Orders []Order
	// Drain lists the replicas to which routing must send no new requests. A later
	// plan unloads each when no request runs on it.
	Drain []Replica
	// Unplaced lists the wanted models for which no engine has room.
	Unplaced []fleet.ModelRef
	// NextPlan is the latest time for the next plan; zero: only changes of wants or
	// reports require one.
	NextPlan time.Time
}
