package endpoint

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
)

// pipeNet is a network of in-memory connections with one server, for tests on a
// fake clock.
type pipeNet struct {
	conns chan net.Conn
	done  chan struct{}
	dials atomic.Int32
}

// servePipe serves h until the test ends.
func servePipe(t *testing.T, h http.Handler) *pipeNet {
	p := &pipeNet{conns: make(chan net.Conn), done: make(chan struct{})}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(p) }()
	t.Cleanup(func() { _ = server.Close() })
	return p
}

func (p *pipeNet) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	named := &namedConn{Conn: server, name: fmt.Sprint("client-", p.dials.Add(1))}
	select {
	case p.conns <- named:
		return client, nil
	case <-p.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (p *pipeNet) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeNet) Close() error {
	close(p.done)
	return nil
}

func (p *pipeNet) Addr() net.Addr { return pipeAddr("server") }

type pipeAddr string

func (pipeAddr) Network() string  { return "pipe" }
func (a pipeAddr) String() string { return string(a) }

// namedConn has a remote address of its own, which distinguishes it from other
// connections.
type namedConn struct {
	net.Conn
	name string
}

func (c *namedConn) RemoteAddr() net.Addr { return pipeAddr(c.name) }
