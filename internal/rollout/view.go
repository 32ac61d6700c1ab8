package rollout

import "time"

// View is the decider's input beside the reports: the state of the service and the
// fleet.
type View struct {
	Old, New int // endpoints that take requests, of the old and the new version
	// Routes are the service's routes, by name. The value is whether a request that runs
	// at the old version when its endpoints stop may be sent to another endpoint.
	Routes map[string]bool
	// Daemons are the daemons that serve. They report at ReportInterval while a service
	// moves.
	Daemons        []string
	ReportInterval time.Duration
}
