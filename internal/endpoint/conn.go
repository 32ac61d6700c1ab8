package endpoint

import (
	"fmt"
	"io"
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

	closed  chan struct{} // by Close
	writeMu sync.Mutex    // held by Write

	mu      sync.Mutex
	written int64
	writing int // calls of Write in progress
	sealed  bool
	// sent is closed once the request in progress has been written, or writing it has failed; nil before the first one.
	sent     chan struct{}
	writeErr error // of the first Write that failed
}

func newConn(c net.Conn, release func()) *conn {
	return &conn{Conn: c, release: release, closed: make(chan struct{})}
}

// startRequest records that net/http begins to write a request, and returns a function that records the end of the
// writing.
func (c *conn) startRequest() (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sent := make(chan struct{})
	c.sent = sent
	return sync.OnceFunc(func() { close(sent) })
}

// Read reads from the connection. It returns io.EOF once the request in progress has been written: until then, an
// answer that ends with its connection may have been cut off. The kernel reports a reset once, and if Write gets it,
// Read finds an ordinary end.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == io.EOF {
		err = c.endOfAnswer()
	}
	return n, err
}

func (c *conn) endOfAnswer() error {
	sent := c.waitSent()
	c.writeMu.Lock() // net/http may still write what it has buffered
	defer c.writeMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.writeErr != nil:
		return fmt.Errorf("connection ended before the request was written: %w", c.writeErr)
	case !sent:
		return net.ErrClosed
	default:
		return io.EOF
	}
}

// waitSent waits until the writing of the request in progress has ended, or the connection is closed. It reports
// whether the writing has ended.
func (c *conn) waitSent() bool {
	c.mu.Lock()
	sent := c.sent
	c.mu.Unlock()
	if sent == nil {
		return true
	}
	select {
	case <-sent:
	case <-c.closed:
	}
	select {
	case <-sent:
		return true
	default:
		return false
	}
}

// Write writes p unless the connection is sealed, and counts what the kernel
// accepted.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
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
	if c.writeErr == nil {
		c.writeErr = err
	}
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
		close(c.closed)
		err = c.Conn.Close()
		c.release()
	})
	return err
}
