package gossip

import (
	"net"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// Options configure a Node.
type Options struct {
	// Conn sends and receives the datagrams. Node.Close closes it.
	Conn net.PacketConn
	// Membership must not be used by the caller after Start.
	Membership *membership.Membership
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Keys returns the current keys; it is called once a second. If it is nil or
	// returns no primary key at Start, datagrams are not encrypted. The caller must
	// allow that in loopback deployments only.
	Keys func() Keys
}

const (
	tickInterval = 100 * time.Millisecond
	keyInterval  = time.Second
	// ringSize is the most packets that wait for the owner goroutine: those of a second
	// at a hundred times the usual rate.
	ringSize = 512
	// readBuffer, in bytes, is larger than any datagram that is sent.
	readBuffer = 2048
)
