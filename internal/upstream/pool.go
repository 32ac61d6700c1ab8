package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Error is the class of errors made by this package.
var Error = errs.Class("upstream")

// ErrPoolExhausted says that this daemon's share of an endpoint's connections is in use.
var ErrPoolExhausted = Error.New("no connection to the endpoint is free")

const (
	// dialTimeout bounds a new connection's set-up: data centres are a few
	// milliseconds apart and a lost packet is repeated within a second.
	dialTimeout = 600 * time.Millisecond
	// idleDefault is how long a connection is kept where the endpoint does
	// not say; it is below the shortest idle time-out that is usual.
	idleDefault = 4 * time.Second
	// idleMargin is taken off the endpoint's stated idle time-out, so that a
	// request doesn't cross the endpoint's close.
	idleMargin = 700 * time.Millisecond
	// userTimeout is how long sent bytes may go unacknowledged before the
	// kernel gives a connection up. Failure: a path that swallows packets.
	// Symptom: a connection that hangs for minutes. Two seconds are many
	// round trips and repeats of a lost packet.
	userTimeout = 2 * time.Second
)

// Pool keeps connections to endpoints. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	hosts map[string]*host
	share int // connections to one endpoint
	stats Stats
	dial  Dialer
}

// host is the connections to one address.
type host struct {
	open int
	idle []*conn // the newest last
	// conns are all that are set up.
	conns map[*conn]struct{}
}

// remove forgets a connection, nil for the room of one that wasn't set up.
func (h *host) remove(c *conn) {
	delete(h.conns, c)
	h.open--
}

// Stats are totals since the start.
type Stats struct {
	Dialled uint64
	Reused  uint64
	Silent  uint64 // calls given up since the endpoint said nothing
	Skipped uint64 // late answers to earlier requests that were passed over
}

// Dialer sets a connection to an endpoint up.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns an empty pool with a share of connections for each endpoint.
func NewPool(share int, dial Dialer) *Pool {
	return &Pool{hosts: map[string]*host{}, share: max(share, 1), dial: dial}
}

// SetShare bounds the connections to one endpoint from now on.
func (p *Pool) SetShare(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.share = max(n, 1)
}

// Stats returns the totals.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stats
}

// CloseIdle closes the idle connections to an address whose endpoint is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	h := p.hosts[address]
	var idle []*conn
	if h != nil {
		idle, h.idle = h.idle, nil
	}
	for _, c := range idle {
		h.remove(c)
	}
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// get returns a kept connection that is still open, or a new one. Its errors
// are NotRun.
func (p *Pool) get(ctx context.Context, address string) (*conn, error) {
	for {
		c, h, err := p.acquire(address)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.open(ctx, address, h)
		}
		if c.reusable() {
			return c, nil
		}
		p.drop(c)
	}
}

// Listens reports whether an endpoint's process is there: a kept connection to
// it is still open, or a new one can be had, which is kept. Its error says why
// that isn't known.
func (p *Pool) Listens(ctx context.Context, address string) (bool, error) {
	c, err := p.get(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	if c.expires.IsZero() {
		c.expires = time.Now().Add(idleDefault)
	}
	p.put(c)
	return true, nil
}

// open sets a connection up for which there is room.
func (p *Pool) open(ctx context.Context, address string, h *host) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	nc, err := p.dial(ctx, address)
	if err != nil {
		p.release(address, nil)
		return nil, verdict.Wrap(verdict.NotRun, Error.Wrap(err))
	}
	p.count(func(s *Stats) { s.Dialled++ })
	c := newConn(p, h, address, nc)
	p.mu.Lock()
	h.conns[c] = struct{}{}
	p.mu.Unlock()
	return c, nil
}

// acquire returns an idle connection, or nil after it has reserved room for a new one.
func (p *Pool) acquire(address string) (*conn, *host, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	if h == nil {
		h = &host{conns: map[*conn]struct{}{}}
		p.hosts[address] = h
	}
	now := time.Now()
	for n := len(h.idle); n > 0; n = len(h.idle) {
		c := h.idle[n-1]
		h.idle = h.idle[:n-1]
		if now.Before(c.expires) {
			p.stats.Reused++
			return c, h, nil
		}
		h.remove(c)
		c.close()
	}
	if h.open >= p.share {
		return nil, nil, verdict.Wrap(verdict.NotRun, ErrPoolExhausted)
	}
	h.open++
	return nil, h, nil
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	h := p.hosts[c.address]
	h.idle = append(h.idle, c)
	p.mu.Unlock()
}

// lastReceived returns when bytes came last on any connection that was set up
// by a time.
func (p *Pool) lastReceived(h *host, by time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var last time.Time
	for c := range h.conns {
		if at := c.lastReceived(); !c.dialled.After(by) && at.After(last) {
			last = at
		}
	}
	return last
}

// drop closes a connection and gives its room back.
func (p *Pool) drop(c *conn) {
	c.close()
	p.release(c.address, c)
}

// release gives the room of a connection back, nil for one that wasn't set up.
func (p *Pool) release(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.remove(c)
	if h.open == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// Sweep closes idle connections whose time is over. It should be called about
// once a second: endpoints bound their connections.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	var old []*conn
	for address, h := range p.hosts {
		kept := h.idle[:0]
		for _, c := range h.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
				continue
			}
			old = append(old, c)
			h.remove(c)
		}
		h.idle = kept
		if h.open == 0 {
			delete(p.hosts, address)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		c.close()
	}
}

func (p *Pool) count(f func(*Stats)) {
	p.mu.Lock()
	f(&p.stats)
	p.mu.Unlock()
}
