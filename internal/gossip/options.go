package gossip

import (
	"net"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// Options say how a Node is to run.
type Options struct {
	// Conn sends and receives the datagrams; Close closes it.
	Conn net.PacketConn
	// Membership is owned by the Node from Start on.
	Membership *membership.Membership
	// Now is the clock; time.Now where nil.
	Now func() time.Time
	// Keys is asked for the keys once a second. Where it is nil or gives no
	// primary key datagrams are plain; only loopback deployments may do that,
	// which the caller sees to.
	Keys func() Keys
}

// Times and sizes of the Node.
const (
	tickInterval = 100 * time.Millisecond
	keyInterval  = time.Second
	// ringSize bounds the packets that wait for the owner: a second's worth at
	// hundredfold load.
	ringSize = 512
	// readBuffer is more than the largest datagram that is sent.
	readBuffer = 2048
)
