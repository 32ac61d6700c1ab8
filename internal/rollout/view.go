package rollout

import "time"

// View is what the decider sees of a service besides the reports.
type View struct {
	Old, New int // endpoints that take requests, by version
	// Routes lead to the service; those that are true may be sent again at another
	// endpoint when the old version's are stopped.
	Routes map[string]bool
	// Daemons serve, and report at an interval while a service moves.
	Daemons        []string
	ReportInterval time.Duration
}
