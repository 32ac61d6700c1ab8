package shares

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// member is another daemon that serves the workspace.
type member struct {
	id       fleet.DaemonID
	reported float64 // its demand, as last reported
	acked    float64 // lower bound of the demand that it currently assumes of this daemon
	replied  bool    // it has replied at least once, so it counts this daemon
}
