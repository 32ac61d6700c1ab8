package endpoint

import (
	"net"
	"sync"
)

// conn is a connection that knows whether bytes were handed to the kernel, and
// that can be closed to further writes.
//
// The failure it guards against: a request is cancelled while another
// goroutine of net/http is about to write it. Without the seal, "nothing was
// written" could be true when asked and false a moment later, and the caller
// would be told "not run" of a request that runs. After seal no byte leaves,
// so the proof stays true.
type conn struct {
	net.Conn
	release func() // gives the place in the endpoint's bound back
	once    sync.Once

	mu      sync.Mutex
	written int64
	writing int // calls of Write under way
	sealed  bool
}

func newConn(c net.Conn, release func()) *conn { return &conn{Conn: c, release: release} }

// Write counts what the kernel took.
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

// sealUnwritten stops all later writes and returns true, unless something was
// written since the count was base or is being written.
func (c *conn) sealUnwritten(base int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writing > 0 || c.written > base {
		return false
	}
	c.sealed = true
	return true
}

// Close closes the connection and gives its place back, once.
func (c *conn) Close() (err error) {
	c.once.Do(func() {
		err = c.Conn.Close()
		c.release()
	})
	return err
}
