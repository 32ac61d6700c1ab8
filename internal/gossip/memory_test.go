package gossip

import (
	"net"
	"sync"
	"time"
)

// memoryNet is an in-memory network of memoryConns, so that nodes can run under
// testing/synctest, whose clock does not advance while a goroutine reads a socket.
type memoryNet struct {
	mu    sync.Mutex
	conns map[string]*memoryConn
}

type memoryDatagram struct {
	content []byte
	from    net.Addr
}

type memoryConn struct {
	net     *memoryNet
	address *net.UDPAddr
	in      chan memoryDatagram
	closed  chan struct{}
}

func (m *memoryNet) listen(port int) *memoryConn {
	c := &memoryConn{
		net:     m,
		address: &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port},
		in:      make(chan memoryDatagram, 64),
		closed:  make(chan struct{}),
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.conns[c.address.String()] = c
	return c
}

func (c *memoryConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case d := <-c.in:
		return copy(p, d.content), d.from, nil
	case <-c.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c *memoryConn) WriteTo(p []byte, to net.Addr) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if other := c.net.conns[to.String()]; other != nil {
		select {
		case other.in <- memoryDatagram{content: append([]byte(nil), p...), from: c.address}:
		default:
		}
	}
	return len(p), nil
}

func (c *memoryConn) Close() error {
	close(c.closed)
	return nil
}

func (c *memoryConn) LocalAddr() net.Addr              { return c.address }
func (c *memoryConn) SetDeadline(time.Time) error      { return nil }
func (c *memoryConn) SetReadDeadline(time.Time) error  { return nil }
func (c *memoryConn) SetWriteDeadline(time.Time) error { return nil }
