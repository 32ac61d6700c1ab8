package relay

import (
	"context"
	"errors"
	"time"

	"github.com/zeebo/errs"
)

// errStopped ends the requests that are in progress when the daemon ends.
var errStopped = errs.New("the daemon ends")

// stop is a graceful stop of the daemon.
type stop struct {
	began time.Time
	end   time.Time // when the requests in progress are ended
}

// longRequestShare is the part of a stop's time in which requests are accepted whose deadline is
// later than the end of any stop.
const longRequestShare = 0.3

// accepts reports whether a request that is sent to an endpoint now ends before the daemon does.
// One whose timeout is shorter than the whole stop must have its deadline before the end, since
// another daemon can grant it that. Of the longer ones no daemon can: they are accepted early in
// the stop, unless requests of their route are known to take longer than what is left of it.
func (s *stop) accepts(now time.Time, timeout time.Duration, deadline time.Time, usual func() (time.Duration, bool)) bool {
	length, left := s.end.Sub(s.began), s.end.Sub(now)
	switch {
	case left <= 0:
		return false
	case !deadline.After(s.end):
		return true
	case timeout <= length:
		return false
	}
	longest, known := usual()
	return (!known || longest <= left) && now.Sub(s.began) <= time.Duration(longRequestShare*float64(length))
}

// Stop marks the daemon as stopping: from now on it accepts only requests that end before end.
func (r *Relay) Stop(now, end time.Time) { r.stopping.CompareAndSwap(nil, &stop{began: now, end: end}) }

// Close makes the relay refuse all further requests.
func (r *Relay) Close() { r.closed.Store(true) }

// EndAll ends the requests in progress. Their callers get an answer, except where a part of one
// was sent.
func (r *Relay) EndAll() { r.endAll(errStopped) }

// accepts reports whether a request may be sent to an endpoint now.
func (r *Relay) accepts(q *Request, a *admitted) bool {
	if r.closed.Load() {
		return false
	}
	s := r.stopping.Load()
	if s == nil {
		return true
	}
	usual := func() (time.Duration, bool) { return r.durations.usual(a.route.Name) }
	return s.accepts(time.Now(), a.deadline.Sub(q.Received), a.deadline, usual)
}

// stoppingFor returns how long the daemon had been stopping when a request was received.
func (r *Relay) stoppingFor(q *Request) time.Duration {
	s := r.stopping.Load()
	if s == nil {
		return 0
	}
	return max(q.Received.Sub(s.began), 0)
}

// stopped reports whether a request has ended because the daemon ends.
func stopped(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopped) }

// callerLeft reports whether a request has ended because its caller has disconnected.
func callerLeft(ctx context.Context) bool {
	return errors.Is(ctx.Err(), context.Canceled) && !stopped(ctx)
}
