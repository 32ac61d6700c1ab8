package progress

import "net"

// Conn is a connection that counts the bytes received on it.
type Conn struct {
	net.Conn
	Meter Meter
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.Meter.Add(n)
	return n, err
}
