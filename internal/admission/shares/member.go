package shares

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// member is another daemon that serves the workspace.
type member struct {
	id       fleet.DaemonID
	reported float64 // its demand, as it told us last
	acked    float64 // the least of our demands that it may take for our latest
	replied  bool    // it has answered, so it counts us
}
