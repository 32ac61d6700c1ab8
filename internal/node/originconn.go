package node

import (
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"

	"github.com/cyclamenbeam/cyclamenbeam/internal/node/originpb"
)

// originMark is the first byte of datagrams about origins. A datagram of the membership
// protocol can't begin with it, since no protobuf field has its wire type, 7.
const originMark = 0x0f

// originConn is the socket of the membership protocol, without the datagrams about origins.
type originConn struct {
	net.PacketConn
	receive func(p *originpb.Packet, from net.Addr)
}

// ReadFrom implements net.PacketConn.
func (c *originConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(p)
		if err != nil || n == 0 || p[0] != originMark {
			return n, from, err
		}
		packet := &originpb.Packet{}
		if proto.Unmarshal(p[1:n], packet) == nil {
			c.receive(packet, from)
		}
	}
}

// sendTo sends a datagram to a daemon's address. One that is lost is asked for again, or its
// stream's origin is known to fewer daemons.
func (c *originConn) sendTo(address string, p *originpb.Packet) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		c.send(net.UDPAddrFromAddrPort(to), p)
	}
}

func (c *originConn) send(to net.Addr, p *originpb.Packet) {
	if text, err := (proto.MarshalOptions{}).MarshalAppend([]byte{originMark}, p); err == nil {
		_, _ = c.WriteTo(text, to)
	}
}
