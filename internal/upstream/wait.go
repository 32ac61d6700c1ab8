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

// readWait bounds the reading of one call's answer. One connection's silence isn't enough to
// tell that an endpoint hangs: prompts queue, and long ones stop a batch; an endpoint that
// says something to another caller is alive. What it says on connections that are younger
// than the call proves nothing: it may have started again and know nothing of the call.
// Nor does time in which this process was held up itself: what the endpoint said meanwhile
// waits to be read.
type readWait struct {
	silenceTimeout time.Duration // 0: not bounded
	headDeadline   time.Time     // zero: none
	began          time.Time
	silenceFrom    time.Time   // from when on silence counts
	checkedAt      time.Time   // when this call was last at work here
	deadlineSet    bool        // a deadline is set on the connection
	cancelled      atomic.Bool // the call's context ended
}

const (
	// pauseCheckInterval is how often a wait looks whether this process was held up: so much of
	// that time may be taken for the endpoint's silence.
	pauseCheckInterval = 500 * time.Millisecond
	// minPause is how late a look is when this process was held up: on a busy machine
	// it is late by some ten milliseconds.
	minPause = 100 * time.Millisecond
)

// startWait begins a call's wait.
func (c *conn) startWait(now time.Time, call *Call) {
	c.wait.silenceTimeout, c.wait.headDeadline = call.SilenceTimeout, time.Time{}
	c.wait.began, c.wait.silenceFrom, c.wait.checkedAt = now, now, now
	if call.HeadTimeout > 0 {
		c.wait.headDeadline = now.Add(call.HeadTimeout)
	}
	c.wait.cancelled.Store(false)
}

// headReceived ends the bound on the answer's head.
func (c *conn) headReceived() { c.wait.headDeadline = time.Time{} }

// cancel stops all reading: the call's context is over.
func (c *conn) cancel() {
	c.wait.cancelled.Store(true)
	_ = c.nc.SetDeadline(time.Unix(1, 0))
}

// endWait ends a call's wait, so that the connection can be kept.
func (c *conn) endWait() {
	c.wait.silenceTimeout, c.wait.headDeadline = 0, time.Time{}
	c.setDeadline(time.Now(), c.lastReceived())
}

// waitEnd returns when the wait is over if the endpoint was heard last at a time;
// zero where it isn't bounded.
func (c *conn) waitEnd(heard time.Time) time.Time {
	out := c.wait.headDeadline
	if c.wait.silenceTimeout <= 0 {
		return out
	}
	if silent := c.silenceStart(heard).Add(c.wait.silenceTimeout); out.IsZero() || silent.Before(out) {
		out = silent
	}
	return out
}

// silenceStart returns from when on the silence of an endpoint counts that was heard last
// at a time.
func (c *conn) silenceStart(heard time.Time) time.Time {
	if heard.Before(c.wait.silenceFrom) {
		return c.wait.silenceFrom
	}
	return heard
}

// lastReceived returns when bytes came last on this connection.
func (c *conn) lastReceived() time.Time { return c.received.Time() }

// setDeadline sets the connection's deadline, for an endpoint that was heard last at a
// time.
func (c *conn) setDeadline(now, heard time.Time) {
	until := c.waitEnd(heard)
	if until.IsZero() && !c.wait.deadlineSet {
		return
	}
	c.wait.deadlineSet = !until.IsZero()
	if look := now.Add(pauseCheckInterval); until.After(look) {
		until = look
	}
	_ = c.nc.SetReadDeadline(until)
}

// discountPause takes time in which this process was held up since the last discountPause off the wait for
// an endpoint that was heard last at a time.
func (c *conn) discountPause(now, heard time.Time) {
	held := now.Sub(c.wait.checkedAt) - pauseCheckInterval
	c.wait.checkedAt = now
	if held < minPause {
		return
	}
	c.wait.silenceFrom = c.silenceStart(heard).Add(held)
	if !c.wait.headDeadline.IsZero() {
		c.wait.headDeadline = c.wait.headDeadline.Add(held)
	}
}

// Read reads from the connection within the call's bounds.
func (c *conn) Read(p []byte) (int, error) {
	heard := c.lastReceived()
	for {
		now := time.Now()
		c.discountPause(now, heard)
		c.setDeadline(now, heard)
		if c.wait.cancelled.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.nc.Read(p)
		now = time.Now()
		if n > 0 {
			c.received.Set(now)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.wait.cancelled.Load() {
			return n, err
		}
		c.discountPause(now, heard)
		if limit := c.wait.headDeadline; !limit.IsZero() && !now.Before(limit) {
			return n, err
		}
		heard = c.pool.lastReceived(c.host, c.wait.began)
		if !now.Before(c.waitEnd(heard)) {
			c.pool.count(func(s *Stats) { s.Silent++ })
			return n, ErrSilent
		}
	}
}
