package daemon

import (
	"net"
	"sync/atomic"
)

// byteCount counts the bytes of connections, as they leave and enter TCP: TLS
// is counted, the headers of IP and TCP are not. Safe for concurrent use.
type byteCount struct {
	in, out atomic.Uint64
}

// listen counts the connections that l accepts.
func (b *byteCount) listen(l net.Listener) net.Listener {
	return countedListener{Listener: l, count: b}
}

// conn counts a connection.
func (b *byteCount) conn(c net.Conn) net.Conn { return &countedConn{Conn: c, count: b} }

type countedListener struct {
	net.Listener
	count *byteCount
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.count.conn(c), nil
}

type countedConn struct {
	net.Conn
	count *byteCount
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.in.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.out.Add(uint64(n))
	return n, err
}
