package membership

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Member describes one daemon as it is believed to be.
type Member struct {
	Instance   fleet.InstanceID
	Daemon     fleet.DaemonID // one run of the process
	Caller     string         // address for callers, host:port
	Peer       string         // address for other daemons, host:port; TCP and UDP
	DataCentre fleet.DataCentre
	Region     fleet.Region
	State      State
	// Incarnation orders statements about an instance. Only the daemon itself
	// raises it. A run starts with its start time in Unix milliseconds, so that
	// a restart overrides the run before; where the clock went backwards, the
	// run learns the older one's number from its peers and raises its own.
	Incarnation uint64
	Digest      Digest // of its configuration, as last heard from it directly
}
