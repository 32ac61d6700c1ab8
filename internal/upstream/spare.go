package upstream

import (
	"context"
	"slices"
	"time"
)

// spareIdle is how long a spare connection is kept after the last answer without a length.
const spareIdle = idleDefault

// undelimited are the answers of an endpoint that end with their connections, and the spare
// connection that shows whether the process ends with them. It carries no calls.
type undelimited struct {
	answers int       // being read
	ended   time.Time // when the last one was closed
	spare   *conn
	dialing bool
}

// due reports whether a spare should be established.
func (u *undelimited) due() bool { return u.answers > 0 && u.spare == nil && !u.dialing }

// spareEnded reports whether the endpoint has closed the spare.
func (u *undelimited) spareEnded() bool {
	if u.spare == nil {
		return false
	}
	open, known := u.spare.open()
	return known && !open
}

// spareExpired reports whether the spare isn't needed any more.
func (u *undelimited) spareExpired(now time.Time) bool {
	return u.answers == 0 && now.Sub(u.ended) >= spareIdle
}

// beginUndelimited records that an answer without a length is being read on a connection.
func (p *Pool) beginUndelimited(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.host.undelimited.answers++
	p.wantSpare(c.address, c.host)
}

// endUndelimited records that such an answer was closed.
func (p *Pool) endUndelimited(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.host.undelimited.answers--
	c.host.undelimited.ended = time.Now()
}

// wantSpare establishes a spare in the background if one is due and leaves room for a call. The
// lock is held.
func (p *Pool) wantSpare(address string, h *host) {
	if !h.undelimited.due() || h.open+1 >= p.share {
		return
	}
	h.open++
	h.undelimited.dialing = true
	go func() {
		c, err := p.open(context.Background(), address, h)
		p.mu.Lock()
		defer p.mu.Unlock()
		h.undelimited.dialing = false
		if err == nil {
			h.undelimited.spare = c
		}
	}()
}

// sweepSpare closes a spare that has ended or isn't needed any more, and establishes one that is
// due. The lock is held.
func (p *Pool) sweepSpare(now time.Time, address string, h *host) {
	if h.undelimited.spareEnded() || h.undelimited.spareExpired(now) {
		h.closeSpare()
	}
	p.wantSpare(address, h)
}

// closeSpare closes the spare, if there is one.
func (h *host) closeSpare() {
	c := h.undelimited.spare
	if c == nil {
		return
	}
	h.undelimited.spare = nil
	h.remove(c)
	c.close()
}

// full reports whether no further connection may be opened. A spare makes room for one.
func (h *host) full(share int) bool {
	if h.open >= share {
		h.closeSpare()
	}
	return h.open >= share
}

// ProcessRuns reports whether the process that gave an answer is known to run: another connection
// that it accepted before is open. A process that ends closes all of them within milliseconds.
// It is called after the answer's end.
func (a *Answer) ProcessRuns() bool {
	runs := !a.ranAt.IsZero() && a.pool.anyOpen(a.conn, a.ranAt)
	a.pool.count(func(s *Stats) { s.countEnd(runs) })
	return runs
}

// countEnd counts the end of an answer without a length.
func (s *Stats) countEnd(shown bool) {
	if shown {
		s.EndsShown++
	} else {
		s.EndsUnknown++
	}
}

// anyOpen reports whether a connection to the same address as c, other than c and established by a
// time, is known to be open.
func (p *Pool) anyOpen(c *conn, by time.Time) bool {
	p.mu.Lock()
	var others []*conn
	if h := p.hosts[c.address]; h != nil {
		for other := range h.conns {
			if other != c && !other.dialled.After(by) {
				others = append(others, other)
			}
		}
	}
	p.mu.Unlock()
	return slices.ContainsFunc(others, func(c *conn) bool {
		open, _ := c.open()
		return open
	})
}
