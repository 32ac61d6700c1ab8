package capacity

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Result is a plan. When Changed, Record must be written, on the version that
// was read, before any launch is carried out.
type Result struct {
	Launches  []cloudapi.Launch
	GiveBacks []GiveBack
	Again     time.Time // plan again by then at the latest
	Record    Record
	Changed   bool
	Short     float64 // tokens a second that no offer could be found for
}

// GiveBack ends an instance, after its requests were drained.
type GiveBack struct {
	Instance fleet.InstanceID
	Reason   Reason
}

// Reason says why an instance is given back.
type Reason string

// The reasons.
const (
	Surplus Reason = "surplus" // more than the demand and its reserve need
	Orphan  Reason = "orphan"  // owned but in no record
	Stuck   Reason = "stuck"   // launched long ago and never ready
)
