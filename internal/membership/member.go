package membership

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Member is what this daemon's table holds about one daemon.
type Member struct {
	Instance   fleet.InstanceID
	Daemon     fleet.DaemonID // identifies one run of the process
	Caller     string         // address for callers, host:port
	Peer       string         // address for other daemons, host:port; TCP and UDP
	DataCentre fleet.DataCentre
	Region     fleet.Region
	State      State
	// Incarnation orders updates about an instance; only its daemon increases
	// it. It starts as the run's start time in Unix milliseconds, so that a
	// restart overrides the previous run. If the clock went backwards, the run
	// receives the previous run's incarnation from peers and sets a higher one.
	Incarnation uint64
	Digest      Digest // of its configuration, as last received from it directly
}
