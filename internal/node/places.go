package node

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/connections"
	"github.com/cyclamenbeam/cyclamenbeam/internal/httpserver"
)

const (
	// connectionBytes is the most that a client's connection holds beside a body, an answer and an
	// unusual head: the kernel's buffers in both directions, two buffered pages, a usual head and
	// the stacks of its goroutines.
	connectionBytes = 88 << 10
	// ownDescriptors are set aside for the runtime's files, the store, the cloud and other daemons.
	ownDescriptors = 300
	// assumedDescriptors is the number of descriptors of a process whose settings state none.
	assumedDescriptors = 4096
	// minPlaces is the least number of a listener's connections.
	minPlaces = 4
)

// The listeners' parts of all connections. Requests of callers and of other daemons need another
// connection each, to an endpoint.
const (
	callersPart   = 0.5
	forwardPart   = 0.3
	directoryPart = 0.12
	readyPart     = 0.05
	metricsPart   = 0.03
	// descriptorsPerPlace is the number of descriptors that a place takes on average.
	descriptorsPerPlace = 2*(callersPart+forwardPart) + directoryPart + readyPart + metricsPart
)

// Defaults and least values of clients' times, which the configuration may raise.
const (
	minHeadTime = 5 * time.Second
	minIdleTime = 60 * time.Second
)

// places returns the number of connections of a listener that has a part of all.
func (s *Settings) places(part float64) int {
	fds := s.Limits.MaxFDs
	if fds == 0 {
		fds = assumedDescriptors
	}
	byMemory := float64(partOf(s, connectionsShare)) / connectionBytes
	byDescriptors := float64(fds-ownDescriptors) / descriptorsPerPlace
	return max(int(part*min(byMemory, byDescriptors)), minPlaces)
}

// Places returns the numbers of connections of the platform's listeners.
func (n *Node) Places() (callers, ready, directory int) {
	s := n.settings
	return s.places(callersPart), s.places(readyPart), s.places(directoryPart)
}

// Guard bounds the connections of all listeners.
func (n *Node) Guard() *httpserver.Guard { return n.guard }

// clientTimes returns how long clients may take.
func (n *Node) clientTimes() connections.Times {
	out := connections.Times{Head: minHeadTime, Idle: minIdleTime}
	if t := n.state.Table(); t != nil {
		out.Head, out.Idle = max(out.Head, t.Limits.HeadTimeout), max(out.Idle, t.Limits.IdleTimeout)
	}
	return out
}
