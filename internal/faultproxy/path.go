package faultproxy

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// PathState is the state of a Path.
type PathState int32

// The states of a path.
const (
	PathOpen        PathState = iota
	PathHanging               // open connections lose all bytes and their end, new ones aren't answered
	PathReset                 // open connections are reset, new ones are refused
	PathRefusesNew            // open connections live on, new ones are refused
	PathAnswersLost           // what is sent arrives; all connections lose the answers and their end
)

// Path is the network path from one process to its targets, as a dialer. Its methods may be
// called at any time, from several goroutines. The zero value is open.
type Path struct {
	state atomic.Int32
	mu    sync.Mutex
	conns map[*pathConn]struct{}
}

// Set sets the path's state.
func (p *Path) Set(s PathState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state.Store(int32(s))
	for c := range p.conns {
		switch s {
		case PathHanging:
			c.lost.Store(true)
		case PathAnswersLost:
			c.answersLost.Store(true)
		case PathReset:
			c.reset.Store(true)
			_ = c.Conn.Close()
		}
	}
}

// Dial connects to an address.
func (p *Path) Dial(ctx context.Context, address string) (net.Conn, error) {
	switch PathState(p.state.Load()) {
	case PathHanging:
		<-ctx.Done()
		return nil, ctx.Err()
	case PathReset, PathRefusesNew:
		return nil, syscall.ECONNREFUSED
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	c := &pathConn{Conn: nc, path: p}
	c.silent, c.silentPeer = net.Pipe()
	p.mu.Lock()
	defer p.mu.Unlock()
	c.answersLost.Store(PathState(p.state.Load()) == PathAnswersLost)
	if p.conns == nil {
		p.conns = map[*pathConn]struct{}{}
	}
	p.conns[c] = struct{}{}
	return c, nil
}

// pathConn is a connection over a path.
type pathConn struct {
	net.Conn
	path  *Path
	lost  atomic.Bool // all bytes are lost, and the connection's end
	reset atomic.Bool
	// answersLost says that this holds for the received ones alone.
	answersLost atomic.Bool
	// silent is never written to. It has the deadlines of Conn, so that a read from it ends as
	// one from a peer that doesn't answer.
	silent, silentPeer net.Conn
}

// Read implements net.Conn.
func (c *pathConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		lost := c.lost.Load() || c.answersLost.Load()
		switch {
		case c.reset.Load():
			return 0, syscall.ECONNRESET
		case lost && err == nil:
			continue
		case lost:
			return c.silent.Read(b)
		}
		return n, err
	}
}

// SetDeadline implements net.Conn.
func (c *pathConn) SetDeadline(t time.Time) error {
	return errs.Combine(c.silent.SetDeadline(t), c.Conn.SetDeadline(t))
}

// SetReadDeadline implements net.Conn.
func (c *pathConn) SetReadDeadline(t time.Time) error {
	return errs.Combine(c.silent.SetReadDeadline(t), c.Conn.SetReadDeadline(t))
}

// Write implements net.Conn.
func (c *pathConn) Write(b []byte) (int, error) {
	switch {
	case c.reset.Load():
		return 0, syscall.ECONNRESET
	case c.lost.Load():
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *pathConn) Close() error {
	c.path.mu.Lock()
	delete(c.path.conns, c)
	c.path.mu.Unlock()
	return errs.Combine(c.silent.Close(), c.silentPeer.Close(), c.Conn.Close())
}

// SyscallConn implements syscall.Conn.
func (c *pathConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}
