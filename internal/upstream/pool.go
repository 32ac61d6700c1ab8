package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// Error is the class of errors made by this package.
var Error = errs.Class("upstream")

// ErrPoolExhausted means that all connections that this daemon may open to an
// endpoint are in use.
var ErrPoolExhausted = Error.New("no connection to the endpoint is free")

// ErrNoOldConnection means that no connection to the endpoint was established early enough.
var ErrNoOldConnection = Error.New("no connection to the endpoint is old enough")

const (
	// dialTimeout bounds the time for connecting: data centres are a few
	// milliseconds apart, and a lost packet is retransmitted within a second.
	dialTimeout = 600 * time.Millisecond
	// idleDefault is how long an idle connection is kept if the endpoint states
	// no time; it is below the shortest usual idle timeout.
	idleDefault = 4 * time.Second
	// idleMargin is subtracted from the idle timeout that the endpoint states, so
	// that no request is sent while the endpoint closes the connection.
	idleMargin = 700 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the
	// kernel closes a connection, which would otherwise hang for minutes when the
	// network drops all packets. Two seconds are many round trips and
	// retransmissions.
	userTimeout = 2 * time.Second
	// endpointUserTimeout is the same for endpoints. An endpoint may be silent for a second
	// or two and go on, so that several keep-alive probes must be lost in that time.
	endpointUserTimeout = 4 * time.Second
)

// Pool holds connections to endpoints. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	hosts map[string]*host
	share int // most connections to one endpoint
	stats Stats
	dial  Dialer
}

// host holds the connections to one address.
type host struct {
	open int     // established or being established
	idle []*conn // most recently used last
	// conns holds the established connections, idle or in use.
	conns       map[*conn]struct{}
	undelimited undelimited
}

// remove removes a connection from the count; c is nil if connecting failed.
func (h *host) remove(c *conn) {
	delete(h.conns, c)
	h.open--
}

// closeExpired closes the idle connections that are kept no longer.
func (h *host) closeExpired(now time.Time) {
	h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
		expired := !now.Before(c.expires)
		if expired {
			h.remove(c)
			c.close()
		}
		return expired
	})
}

// takeIdle returns the idle connection that was used last, of those established no later than by
// if there are any; nil if there is none.
func (h *host) takeIdle(by time.Time) *conn {
	at := len(h.idle) - 1
	for i := at; i >= 0 && !by.IsZero(); i-- {
		if !h.idle[i].dialled.After(by) {
			at = i
			break
		}
	}
	if at < 0 {
		return nil
	}
	c := h.idle[at]
	h.idle = slices.Delete(h.idle, at, at+1)
	return c
}

// Stats are totals since the pool was created.
type Stats struct {
	Dialled uint64
	Reused  uint64
	Silent  uint64 // calls that ended with ErrSilent
	Skipped uint64 // late answers to earlier requests
	// Confirmed and Unconfirmed are the connections that were asked which run of their endpoint
	// they reach, by whether it was the expected one.
	Confirmed, Unconfirmed uint64
	// EndsShown and EndsUnknown are the answers without a length that ended, by whether another
	// connection showed that their process runs on.
	EndsShown, EndsUnknown uint64
}

// Dialer connects to an endpoint at an address, host:port.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// NewPool returns an empty pool that opens at most share connections to each
// endpoint, and at least one.
func NewPool(share int, dial Dialer) *Pool {
	return &Pool{hosts: map[string]*host{}, share: max(share, 1), dial: dial}
}

// SetShare sets the most connections to each endpoint. Open connections above
// it aren't closed.
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

// CloseIdle closes the idle connections to an address.
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

// get returns an idle connection that is still open, or a new one; an idle one that was
// established no later than by, if there is one; by is zero if any will do. One that has carried a
// request with this ID is closed. Its errors have the verdict NotRun.
func (p *Pool) get(ctx context.Context, address string, by time.Time, id string) (*conn, error) {
	for {
		c, h, err := p.acquire(address, by)
		if err != nil {
			return nil, err
		}
		if c == nil {
			return p.open(ctx, address, h)
		}
		if c.reusable() && !c.carried(id) {
			return c, nil
		}
		p.drop(c)
	}
}

// Listens reports whether an endpoint accepts connections: an idle connection to
// it is still open, or a new one can be established, which is then kept. It
// returns false if the connection is refused, and an error if neither is known.
func (p *Pool) Listens(ctx context.Context, address string) (bool, error) {
	c, err := p.get(ctx, address, time.Time{}, "")
	if errors.Is(err, syscall.ECONNREFUSED) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	p.giveBack(c)
	return true, nil
}

// giveBack keeps a connection that wasn't used.
func (p *Pool) giveBack(c *conn) {
	if c.expires.IsZero() {
		c.expires = time.Now().Add(idleDefault)
	}
	p.put(c)
}

// Connect establishes a new connection to an address, which is kept for the next call. It
// returns ErrPoolExhausted if no further connection may be opened.
func (p *Pool) Connect(ctx context.Context, address string) error {
	h, err := p.reserve(address)
	if err != nil {
		return err
	}
	c, err := p.open(ctx, address, h)
	if err != nil {
		return err
	}
	c.expires = time.Now().Add(idleDefault)
	p.put(c)
	return nil
}

// reserve reserves a new connection.
func (p *Pool) reserve(address string) (*host, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	if h.full(p.share) {
		return nil, verdict.Wrap(verdict.NotRun, ErrPoolExhausted)
	}
	h.open++
	return h, nil
}

// host returns the connections to an address. The lock is held.
func (p *Pool) host(address string) *host {
	h := p.hosts[address]
	if h == nil {
		h = &host{conns: map[*conn]struct{}{}}
		p.hosts[address] = h
	}
	return h
}

// EachHost calls f with each address that has connections, and when bytes were last received
// on any of them, zero for never.
func (p *Pool) EachHost(f func(address string, received time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, h := range p.hosts {
		var last time.Time
		for c := range h.conns {
			if at := c.lastReceived(); at.After(last) {
				last = at
			}
		}
		f(address, last)
	}
}

// open establishes a connection that acquire or reserve has reserved.
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

// acquire returns an idle connection, or reserves a new one and returns nil.
func (p *Pool) acquire(address string, by time.Time) (*conn, *host, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.host(address)
	h.closeExpired(time.Now())
	if c := h.takeIdle(by); c != nil {
		p.stats.Reused++
		return c, h, nil
	}
	if h.full(p.share) {
		return nil, nil, verdict.Wrap(verdict.NotRun, ErrPoolExhausted)
	}
	h.open++
	return nil, h, nil
}

// put adds a connection to the idle ones.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	h := p.hosts[c.address]
	h.idle = append(h.idle, c)
	p.mu.Unlock()
}

// lastReceived returns when bytes were last received on any connection that was
// established no later than by.
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

// drop closes a connection and releases it.
func (p *Pool) drop(c *conn) {
	c.close()
	p.release(c.address, c)
}

// release makes room for another connection; c is nil if connecting failed.
func (p *Pool) release(address string, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[address]
	h.remove(c)
	if h.open == 0 && len(h.idle) == 0 {
		delete(p.hosts, address)
	}
}

// Sweep closes expired idle connections, and renews spares. It should be called about once a
// second, since endpoints limit their connections.
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
		p.sweepSpare(now, address, h)
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
