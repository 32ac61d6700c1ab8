package placement

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Order is an order to an engine; the caller adds its fencing number.
type Order struct {
	Engine fleet.EndpointID
	Kind   engineapi.OrderKind
	Model  fleet.ModelRef
	Role   string
}

// Result is a plan.
type Result struct {
	Orders []Order
	// Drain lists replicas to which routing must send nothing new. Each is
	// unloaded by a later plan, once nothing runs on it.
	Drain []Replica
	// Unplaced lists wants for which no engine has room.
	Unplaced []fleet.ModelRef
	// NextPlan is when to plan again at the latest; zero when only news matter.
	NextPlan time.Time
}
