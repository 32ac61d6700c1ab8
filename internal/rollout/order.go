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
	Duration time.Duration // until the deadline
}

// Check returns an error that names what is wrong with an order.
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

// Bounds are what operators hold a roll-out to.
type Bounds struct {
	// Share and Slack bound the requests that a bad version may get: a share of all
	// that reach its service until the deadline, and some more.
	Share, Slack float64
	// Stop is how long after the fiftieth bad answer the last request may be sent to
	// a bad version.
	Stop time.Duration
}

// On reports whether roll-outs are in use.
func (b Bounds) On() bool { return b.Share > 0 }

// MaxSplitAge is how old the decider's word may be for requests to be sent to a new
// version: with the time in which it is found bad, within the bound for its stop.
func (b Bounds) MaxSplitAge() time.Duration { return b.Stop * 2 / 5 }
