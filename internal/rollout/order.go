package rollout

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("rollout")

// Order is an operator's order to move a service to a version.
type Order struct {
	Service  string
	Target   string        // the version
	Duration time.Duration // from the start to the deadline
}

// Check returns an error that names the fault of an invalid order.
func (o *Order) Check() error {
	switch {
	case o.Service == "":
		return Error.New("order names no service")
	case o.Target == "":
		return Error.New("order for service %q names no target version", o.Service)
	case o.Duration <= 0:
		return Error.New("order for service %q to version %q has a duration of %v", o.Service, o.Target, o.Duration)
	}
	return nil
}

// Bounds are the operators' limits on the harm of a bad version.
type Bounds struct {
	// Share and Slack bound the requests that a bad version may get: Share times the
	// service's requests until the deadline, plus Slack. Share 0 disables roll-outs.
	Share, Slack float64
	// Stop is the maximum time between the fiftieth bad answer and the last request to
	// a bad version.
	Stop time.Duration
}

// On reports whether roll-outs are enabled.
func (b Bounds) On() bool { return b.Share > 0 }

// MaxSplitAge is the age up to which a daemon may send requests to a new version by a
// split. It leaves the rest of Stop for the detection of a bad version.
func (b Bounds) MaxSplitAge() time.Duration { return b.Stop * 2 / 5 }
