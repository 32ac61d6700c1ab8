package endpoint

import (
	"net"
	"sync"
)

// conn is a connection that counts the bytes handed to the kernel and can be sealed
// against further writes.
//
// A request may be cancelled while another goroutine of net/http is about to write
// it. Without the seal, the check that nothing was written could hold at first and
// fail a moment later, and the caller would get the verdict "not run" for a request
// that runs.
type conn struct {
	net.Conn
	release func() // frees the connection's slot
	once    sync.Once

	mu      sync.Mutex
	written int64
	writing int // calls of Write in progress
	sealed  bool
}

func newConn(c net.Conn, release func()) *conn { return &conn{Conn: c, release: release} }

// Write writes p unless the connection is sealed, and counts what the kernel
// accepted.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writing++
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.writing--
	c.written += int64(n)
	c.mu.Unlock()
	return n, err
}

// bytesWritten returns the bytes written so far.
func (c *conn) bytesWritten() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written
}

// sealUnwritten prevents all later writes and returns true, unless a write is in
// progress or more than base bytes were written.
func (c *conn) sealUnwritten(base int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 || c.written > base {
		return false
	}
	c.sealed = true
	return true
}

// Close closes the connection and frees its slot, once.
func (c *conn) Close() (err error) {
	c.once.Do(func() {
		err = c.Conn.Close()
		c.release()
	})
	return err
}
