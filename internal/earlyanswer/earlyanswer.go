// Package earlyanswer is a server for tests that answers a request before it has read the body.
package earlyanswer

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

const (
	// BodyBytes is more than the kernel holds of a body that the server doesn't read, on a connection by Dial.
	BodyBytes = 4 << 20
	// bufferBytes is the size asked for of the kernel's buffers on either side.
	bufferBytes = 32 << 10
)

// End ends a connection after the answer. rest is what follows the request's head.
type End func(c *net.TCPConn, rest io.Reader)

// Reset resets the connection.
func Reset(c *net.TCPConn, _ io.Reader) { _ = c.SetLinger(0) }

// ReadOn ends the answer, and reads the request's body to its end.
func ReadOn(c *net.TCPConn, rest io.Reader) {
	_ = c.CloseWrite()
	_, _ = io.Copy(io.Discard, rest)
}

// Stop returns an End that ends the answer, and leaves the body unread until a context ends.
func Stop(until context.Context) End {
	return func(c *net.TCPConn, _ io.Reader) {
		_ = c.CloseWrite()
		<-until.Done()
	}
}

// Serve starts a server that answers the head of the first request on each connection with the text that answer
// returns, and ends the connection as the End that comes with it does. It returns its address.
func Serve(t testing.TB, answer func(r *http.Request) (string, End)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn), answer)
		}
	}()
	return l.Addr().String()
}

func serve(c *net.TCPConn, answer func(r *http.Request) (string, End)) {
	defer c.Close()
	_ = c.SetReadBuffer(bufferBytes)
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	text, end := answer(r)
	if _, err := io.WriteString(c, text); err == nil {
		end(c, r.Body)
	}
}

// Dial connects to a server.
func Dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err == nil {
		_ = c.(*net.TCPConn).SetWriteBuffer(bufferBytes)
	}
	return c, err
}

// DialWriterFirst connects to a server that resets its connections. The kernel reports a reset once: here to the
// side that writes, and the side that reads finds an ordinary end before the write returns.
func DialWriterFirst(ctx context.Context, address string) (net.Conn, error) {
	c, err := Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return &writerFirst{Conn: c, failed: newEvent(), ended: newEvent()}, nil
}

// event is something that happens once.
type event struct {
	once sync.Once
	c    chan struct{} // closed when it has happened
}

func newEvent() *event { return &event{c: make(chan struct{})} }

func (e *event) happened() { e.once.Do(func() { close(e.c) }) }

// writerFirst is a connection on which all reads after the first one wait until a write has failed.
type writerFirst struct {
	net.Conn
	read   bool
	failed *event // a write has failed, or the connection is closed
	ended  *event // a read has failed, or the connection is closed
}

func (c *writerFirst) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.failed.happened()
		<-c.ended.c
	}
	return n, err
}

func (c *writerFirst) Read(p []byte) (int, error) {
	if c.read {
		<-c.failed.c
	}
	c.read = true
	n, err := c.Conn.Read(p)
	if err != nil {
		c.ended.happened()
	}
	return n, err
}

func (c *writerFirst) Close() error {
	c.failed.happened()
	c.ended.happened()
	return c.Conn.Close()
}
