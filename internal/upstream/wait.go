package upstream

import (
	"errors"
	"os"
	"sync/atomic"
	"time"
)

// ErrSilent means that no bytes arrived from the endpoint within
// Call.SilenceTimeout, neither on the call's connection nor on an older one.
var ErrSilent = Error.New("endpoint silent for longer than the call allows")

// ErrHeadTooLong means that an endpoint sent more than maxHeadBytes without completing the head of
// an answer.
var ErrHeadTooLong = Error.New("no end of the answer's head in %d bytes", maxHeadBytes)

// maxHeadBytes bounds the bytes until an answer's head is complete, informational answers
// included. A faulty endpoint may send bytes without end.
const maxHeadBytes = 64 << 10

// readWait bounds the reading of one call's answer.
//
// Silence on one connection doesn't prove that an endpoint hangs, because prompts
// queue and a long prompt delays its whole batch: bytes on another connection show
// that the endpoint is alive. Only connections established before the call count,
// since an endpoint that has restarted accepts new ones but has lost the call.
// Time in which this process was paused isn't silence either: bytes that arrived
// during it are still to be read.
type readWait struct {
	silenceTimeout time.Duration // 0: none
	headDeadline   time.Time     // zero: none
	began          time.Time
	silenceFrom    time.Time   // silence is counted from then at the earliest
	checkedAt      time.Time   // when discountPause last ran
	deadlineSet    bool        // the connection has a read deadline
	cancelled      atomic.Bool // the call's context has ended
	arrivedAt      time.Time   // when all that had arrived was read, began before that
	steadyFrom     time.Time   // since when there was no pause of maxHoldUp between such times
	readsHead      bool        // a head is being read, of which headLeft bytes may follow
	headLeft       int
}

const (
	// pauseCheckInterval is the longest a read blocks before the next check for a
	// pause of this process. Up to this much of a pause may be counted as silence.
	pauseCheckInterval = 500 * time.Millisecond
	// minPause is the least delay of a check that counts as a pause: on a busy
	// machine a check is late by some ten milliseconds.
	minPause = 100 * time.Millisecond
	// maxHoldUp is the longest time in which bytes arrive that were held up on the way, once they
	// pass: a partition that ends lets all of them through.
	maxHoldUp = time.Second
)

// startWait sets the bounds of a call.
func (c *conn) startWait(now time.Time, call *Call) {
	c.wait.silenceTimeout, c.wait.headDeadline = call.SilenceTimeout, time.Time{}
	c.wait.began, c.wait.silenceFrom, c.wait.checkedAt = now, now, now
	c.wait.arrivedAt, c.wait.steadyFrom = now, now
	if call.HeadTimeout > 0 {
		c.wait.headDeadline = now.Add(call.HeadTimeout)
	}
	c.wait.cancelled.Store(false)
	c.beginHead()
}

// beginHead bounds the next answer's head.
func (c *conn) beginHead() { c.wait.readsHead, c.wait.headLeft = true, maxHeadBytes }

// endHead removes the bound on its bytes.
func (c *conn) endHead() { c.wait.readsHead = false }

// headReceived removes the bounds on the answer's head.
func (c *conn) headReceived() {
	c.endHead()
	c.wait.headDeadline = time.Time{}
}

// arrived records that all bytes that had arrived, or the end of the connection, were read. After a
// pause they may have been held up on the way.
func (w *readWait) arrived(now time.Time) {
	if now.Sub(w.arrivedAt) >= maxHoldUp {
		w.steadyFrom = now
	}
	w.arrivedAt = now
}

// ranAt returns the latest time, before what arrived last, at which the endpoint's process is known
// to have run; zero if that may have been held up.
func (w *readWait) ranAt() time.Time {
	switch {
	case w.arrivedAt.Sub(w.steadyFrom) >= maxHoldUp:
		return w.arrivedAt.Add(-maxHoldUp)
	case w.steadyFrom.Equal(w.began):
		return w.began
	default:
		return time.Time{}
	}
}

// cancel ends all reading and writing when the call's context ends.
func (c *conn) cancel() {
	c.wait.cancelled.Store(true)
	_ = c.nc.SetDeadline(time.Unix(1, 0))
}

// endWait removes the bounds of a call, so that the connection can be reused.
func (c *conn) endWait() {
	c.wait.silenceTimeout, c.wait.headDeadline = 0, time.Time{}
	c.setDeadline(time.Now(), c.lastReceived())
}

// waitEnd returns when the wait ends if no more bytes arrive, zero if it isn't
// bounded. received is when the endpoint last sent bytes.
func (c *conn) waitEnd(received time.Time) time.Time {
	out := c.wait.headDeadline
	if c.wait.silenceTimeout <= 0 {
		return out
	}
	if silent := c.silenceStart(received).Add(c.wait.silenceTimeout); out.IsZero() || silent.Before(out) {
		out = silent
	}
	return out
}

// silenceStart returns the start of the endpoint's silence: when it last sent
// bytes, and not before wait.silenceFrom.
func (c *conn) silenceStart(received time.Time) time.Time {
	if received.Before(c.wait.silenceFrom) {
		return c.wait.silenceFrom
	}
	return received
}

// lastReceived returns when bytes were last received on this connection.
func (c *conn) lastReceived() time.Time { return c.received.Time() }

// setDeadline sets the connection's read deadline to the end of the wait, or to the
// next check for a pause where that is earlier.
func (c *conn) setDeadline(now, received time.Time) {
	until := c.waitEnd(received)
	if until.IsZero() && !c.wait.deadlineSet {
		return
	}
	c.wait.deadlineSet = !until.IsZero()
	if check := now.Add(pauseCheckInterval); until.After(check) {
		until = check
	}
	_ = c.nc.SetReadDeadline(until)
}

// discountPause extends the wait by the time in which this process was paused
// since the last check.
func (c *conn) discountPause(now, received time.Time) {
	pause := now.Sub(c.wait.checkedAt) - pauseCheckInterval
	c.wait.checkedAt = now
	if pause < minPause {
		return
	}
	c.wait.silenceFrom = c.silenceStart(received).Add(pause)
	if !c.wait.headDeadline.IsZero() {
		c.wait.headDeadline = c.wait.headDeadline.Add(pause)
	}
}

// Read reads from the connection within the call's bounds. It returns ErrSilent
// when the endpoint was silent for too long, and ErrHeadTooLong when it sent too much.
func (c *conn) Read(p []byte) (int, error) {
	if c.wait.readsHead {
		if c.wait.headLeft == 0 {
			return 0, ErrHeadTooLong
		}
		p = p[:min(len(p), c.wait.headLeft)]
	}
	n, err := c.read(p)
	c.wait.headLeft -= n
	c.readFailed = c.readFailed || err != nil
	return n, err
}

func (c *conn) read(p []byte) (int, error) {
	received := c.lastReceived()
	for {
		now := time.Now()
		c.discountPause(now, received)
		c.setDeadline(now, received)
		if c.wait.cancelled.Load() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.nc.Read(p)
		now = time.Now()
		if n > 0 {
			c.received.Set(now)
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.wait.cancelled.Load() {
			if n < len(p) { // otherwise more may have been waiting to be read
				c.wait.arrived(now)
			}
			return n, err
		}
		c.discountPause(now, received)
		if limit := c.wait.headDeadline; !limit.IsZero() && !now.Before(limit) {
			return n, err
		}
		received = c.pool.lastReceived(c.host, c.wait.began)
		if !now.Before(c.waitEnd(received)) {
			c.pool.count(func(s *Stats) { s.Silent++ })
			return n, ErrSilent
		}
	}
}
