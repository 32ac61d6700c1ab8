package capacity

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/cloudapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Result is a plan. If Changed is set, the caller must write Record, on condition
// that the stored version is the one it read, before it carries out any launch.
type Result struct {
	Launches  []cloudapi.Launch
	GiveBacks []GiveBack
	NextPlan  time.Time // latest time to call Plan again
	Record    Record
	Changed   bool
	Shortfall float64 // tokens a second that the available offers can't cover
}

// GiveBack asks for an instance to be drained and then terminated.
type GiveBack struct {
	Instance fleet.InstanceID
	Reason   Reason
}

// Reason is why an instance is given back.
type Reason string

const (
	Surplus Reason = "surplus" // not needed for the demand and its reserve
	Orphan  Reason = "orphan"  // owned, but not in the record
	Stuck   Reason = "stuck"   // not ready within Config.StuckTime of its launch
)
