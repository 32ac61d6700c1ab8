package shares

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// member is another daemon that serves the workspace.
type member struct {
	id    fleet.DaemonID
	told  float64 // its demand, as it told us last
	heard float64 // the least of our demands that it may take for our latest
	knows bool    // it has answered, so it counts us
}
