// Package outsidetest is test scaffolding: it serves a handler on connections
// in memory, which work under testing/synctest and can be made to fail.
package outsidetest

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"testing"
)

// Network joins HTTP clients to one server.
type Network struct {
	conns chan net.Conn
	done  chan struct{}
	mu    sync.Mutex
	open  []*Conn
}

// Serve serves the handler until the test ends.
func Serve(t testing.TB, h http.Handler) *Network {
	n := &Network{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(listener{n}) }()
	t.Cleanup(func() {
		close(n.done)
		_ = server.Close()
	})
	return n
}

// Transport returns a transport that dials into the network.
func (n *Network) Transport(t testing.TB) *http.Transport {
	transport := &http.Transport{
		DialContext: func(context.Context, string, string) (net.Conn, error) { return n.dial() },
	}
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

func (n *Network) dial() (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case n.conns <- server:
	case <-n.done:
		return nil, net.ErrClosed
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	c := &Conn{Conn: client, closed: make(chan struct{})}
	n.open = append(n.open, c)
	return c, nil
}

// Dialled returns how many connections were made.
func (n *Network) Dialled() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.open)
}

// Each changes the connections made so far.
func (n *Network) Each(change func(*Conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.open {
		change(c)
	}
}

// listener hands the dialled connections to the server.
type listener struct{ n *Network }

func (l listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.n.conns:
		return c, nil
	case <-l.n.done:
		return nil, net.ErrClosed
	}
}

func (l listener) Close() error   { return nil }
func (l listener) Addr() net.Addr { return &net.TCPAddr{} }

// errWrite is what a connection that refuses writes says.
var errWrite = errors.New("write refused")

// Conn is the client's end of a connection.
type Conn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
	broken bool
	once   sync.Once
	closed chan struct{}
}

// Silence loses all bytes from now on, in both directions, without an error.
func (c *Conn) Silence() { c.set(func() { c.silent = true }) }

// Break makes the next writes fail before a byte is written.
func (c *Conn) Break() { c.set(func() { c.broken = true }) }

func (c *Conn) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

func (c *Conn) state() (silent, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent, c.broken
}

// Read waits for ever on a silent connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if silent, _ := c.state(); silent {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Write pretends to write on a silent connection.
func (c *Conn) Write(p []byte) (int, error) {
	silent, broken := c.state()
	switch {
	case broken:
		return 0, errWrite
	case silent:
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close ends the connection.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
