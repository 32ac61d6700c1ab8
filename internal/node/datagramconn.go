package node

import (
	"net"
	"net/netip"

	"google.golang.org/protobuf/proto"
)

// datagramMark is the first byte of datagrams that aren't of the membership protocol. That
// protocol's can't begin with one, since no protobuf field has the wire type 7.
type datagramMark byte

// The marks.
const (
	originMark datagramMark = 0x0f
	probeMark  datagramMark = 0x17
)

// datagramConn is the socket of the membership protocol, without the datagrams that have a mark.
type datagramConn struct {
	net.PacketConn
	receive map[datagramMark]func(text []byte, from net.Addr)
}

// ReadFrom implements net.PacketConn.
func (c *datagramConn) ReadFrom(p []byte) (int, net.Addr, error) {
	for {
		n, from, err := c.PacketConn.ReadFrom(p)
		if err != nil || n == 0 {
			return n, from, err
		}
		receive := c.receive[datagramMark(p[0])]
		if receive == nil {
			return n, from, nil
		}
		receive(p[1:n], from)
	}
}

// sendTo sends a datagram to a daemon's address. Nothing reports that one is lost.
func (c *datagramConn) sendTo(address string, mark datagramMark, m proto.Message) {
	if to, err := netip.ParseAddrPort(address); err == nil {
		c.send(net.UDPAddrFromAddrPort(to), mark, m)
	}
}

func (c *datagramConn) send(to net.Addr, mark datagramMark, m proto.Message) {
	if text, err := (proto.MarshalOptions{}).MarshalAppend([]byte{byte(mark)}, m); err == nil {
		_, _ = c.WriteTo(text, to)
	}
}
