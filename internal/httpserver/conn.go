package httpserver

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/connections"
)

// writePiece is how much is written before the client's progress is noted, in bytes.
const writePiece = 64 << 10

// listener accepts connections within its places.
type listener struct {
	net.Listener
	guard *Guard
	of    *connections.Listener
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		state, give, ok := l.of.Add(time.Now(), func() { _ = raw.Close() })
		l.guard.close(give)
		if ok {
			return &conn{Conn: raw, guard: l.guard, state: state}, nil
		}
		l.guard.count(l.of.Name, connections.Places)
		_ = raw.Close()
	}
}

// conn is a client's connection that reports what happens on it.
type conn struct {
	net.Conn
	guard *Guard
	state *connections.Conn
	once  sync.Once
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	head := p[:n]
	if end := bytes.Index(head, []byte("\r\n\r\n")); end >= 0 {
		head = head[:end]
	}
	give, ok := c.state.Received(time.Now(), n, bytes.Count(head, []byte{'\n'}))
	c.guard.close(give)
	if !ok {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	written := 0
	defer c.state.Written()
	for {
		piece := p[written:min(len(p), written+writePiece)]
		c.state.Writing(time.Now())
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// SetLinger sets what Close does with data that isn't sent yet, as for a TCP connection.
func (c *conn) SetLinger(sec int) error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.SetLinger(sec)
	}
	return nil
}

// CloseWrite closes the sending side.
func (c *conn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(c.state.Remove)
	return c.Conn.Close()
}

// onState reports that a connection is idle.
func onState(c net.Conn, s http.ConnState) {
	if own, ok := c.(*conn); ok && s == http.StateIdle {
		own.state.Idle(time.Now())
	}
}

type connKey struct{}

// withConn makes the connection known to the handler.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}
