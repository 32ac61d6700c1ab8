package upstream

import (
	"errors"
	"os"
	"sync/atomic"
	"time"
)

// ErrSilent says that nothing came from the endpoint for as long as the call
// allows, on its own connection or on an older one.
var ErrSilent = Error.New("the endpoint fell silent")

// wait bounds the reading of one call's answer. One connection's silence isn't enough to
// tell that an endpoint hangs: prompts queue, and long ones stop a batch; an endpoint that
// says something to another caller is alive. What it says on connections that are younger
// than the call proves nothing: it may have started again and know nothing of the call.
// Nor does time in which this process was held up itself: what the endpoint said meanwhile
// waits to be read.
type wait struct {
	patience time.Duration // 0: not bounded
	limit    time.Time     // zero: none
	began    time.Time
	from     time.Time   // from when on silence counts
	looked   time.Time   // when this call was last at work here
	armed    bool        // a deadline is set on the connection
	ended    atomic.Bool // the call's context ended
}

const (
	// lookInterval is how often a wait looks whether this process was held up: so much of
	// that time may be taken for the endpoint's silence.
	lookInterval = 500 * time.Millisecond
	// heldUpTime is how late a look is when this process was held up: on a busy machine
	// it is late by some ten milliseconds.
	heldUpTime = 100 * time.Millisecond
)

// start begins a call's wait.
func (c *conn) start(now time.Time, call *Call) {
	c.wait.patience, c.wait.limit = call.Patience, time.Time{}
	c.wait.began, c.wait.from, c.wait.looked = now, now, now
	if call.HeadTimeout > 0 {
		c.wait.limit = now.Add(call.HeadTimeout)
	}
	c.wait.ended.Store(false)
}

// headCame ends the bound on the answer's head.
func (c *conn) headCame() { c.wait.limit = time.Time{} }

// end stops all reading: the call's context is over.
func (c *conn) end() {
	c.wait.ended.Store(true)
	_ = c.nc.SetDeadline(time.Unix(1, 0))
}

// finish ends a call's wait, so that the connection can be kept.
func (c *conn) finish() {
	c.wait.patience, c.wait.limit = 0, time.Time{}
	c.arm(time.Now(), c.lastHeard())
}

// until returns when the wait is over if the endpoint was heard last at a time;
// zero where it isn't bounded.
func (c *conn) until(heard time.Time) time.Time {
	out := c.wait.limit
	if c.wait.patience <= 0 {
		return out
	}
	if silent := c.silentFrom(heard).Add(c.wait.patience); out.IsZero() || silent.Before(out) {
		out = silent
	}
	return out
}

// silentFrom returns from when on the silence of an endpoint counts that was heard last
// at a time.
func (c *conn) silentFrom(heard time.Time) time.Time {
	if heard.Before(c.wait.from) {
		return c.wait.from
	}
	return heard
}

// lastHeard returns when bytes came last on this connection.
func (c *conn) lastHeard() time.Time { return c.heard.Time() }

// arm sets the connection's deadline, for an endpoint that was heard last at a
// time.
func (c *conn) arm(now, heard time.Time) {
	until := c.until(heard)
	if until.IsZero() && !c.wait.armed {
		return
	}
	c.wait.armed = !until.IsZero()
	if look := now.Add(lookInterval); until.After(look) {
		until = look
	}
	_ = c.nc.SetReadDeadline(until)
}

// look takes time in which this process was held up since the last look off the wait for
// an endpoint that was heard last at a time.
func (c *conn) look(now, heard time.Time) {
	held := now.Sub(c.wait.looked) - lookInterval
	c.wait.looked = now
	if held < heldUpTime {
		return
	}
	c.wait.from = c.silentFrom(heard).Add(held)
	if !c.wait.limit.IsZero() {
		c.wait.limit = c.wait.limit.Add(held)
	}
}

// Read reads from the connection within the call's bounds.
func (c *conn) Read(p []byte) (int, error) {
	heard := c.lastHeard()
	for {
		now := time.Now()
		c.look(now, heard)
		c.arm(now, heard)
		if c.wait.ended.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.nc.Read(p)
		now = time.Now()
		if n > 0 {
			c.heard.Set(now)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.wait.ended.Load() {
			return n, err
		}
		c.look(now, heard)
		if limit := c.wait.limit; !limit.IsZero() && !now.Before(limit) {
			return n, err
		}
		heard = c.pool.lastHeard(c.host, c.wait.began)
		if !now.Before(c.until(heard)) {
			c.pool.count(func(s *Stats) { s.Silent++ })
			return n, ErrSilent
		}
	}
}
