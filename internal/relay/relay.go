package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	state    *State
	pool     *upstream.Pool
	protocol Protocol
	observer Observer
	guard    Guard
	origins  Origins
	// forwarder sends requests through other daemons, nil if there are none.
	forwarder Forwarder
	stopping  atomic.Pointer[time.Time] // when the daemon began to stop, nil before
	closing   atomic.Bool               // the connections of requests in progress are being closed
	active    atomic.Int64
}

// New returns a relay that takes its decisions from state and its connections from
// pool.
func New(state *State, pool *upstream.Pool, protocol Protocol, observer Observer, guard Guard) *Relay {
	return &Relay{state: state, pool: pool, protocol: protocol, observer: observer, guard: guard, origins: noOrigins{}}
}

// Active returns the number of requests in progress.
func (r *Relay) Active() int { return int(r.active.Load()) }

// Stop marks the daemon as stopping. Requests that could outlast it are refused a
// while after that, see acceptAfterStop.
func (r *Relay) Stop(now time.Time) { r.stopping.CompareAndSwap(nil, &now) }

// Closing marks the requests in progress as cut off, before their connections are closed.
func (r *Relay) Closing() { r.closing.Store(true) }

// acceptAfterStop is how long after Stop requests with a longer timeout are still
// accepted: the platform kills a process 8 s after its notice, and a stream takes 2
// to 3 s.
const acceptAfterStop = 2500 * time.Millisecond

// Serve runs a request to its end and sends the answer to sink. ctx must end when
// the caller disconnects.
func (r *Relay) Serve(ctx context.Context, q *Request, sink Sink) {
	a, refusal := r.state.admit(time.Now(), q)
	r.serve(ctx, q, a, refusal, sink, false)
}

// serve runs a request that was admitted or refused. forwarded says that another daemon
// has admitted it.
func (r *Relay) serve(ctx context.Context, q *Request, a *admitted, refusal *Refusal, sink Sink, forwarded bool) {
	r.active.Add(1)
	defer r.active.Add(-1)
	if refusal == nil && r.tooLate(a) {
		r.state.refund(a)
		refusal = notRun(Stopping, 0)
	}
	if refusal != nil {
		sink.Refuse(*refusal)
		o := initialOutcome(q, a)
		o.Forwarded = forwarded
		o.StoppingFor = r.stoppingFor(q)
		o.Reason, o.Total, o.RetryAfter = refusal.Reason, time.Since(q.Received), refusal.RetryAfter
		r.observer.Ended(&o)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	f := newInflight(r, q, a, sink, forwarded)
	f.outcome.StoppingFor = r.stoppingFor(q)
	f.run(ctx)
	f.outcome.Total = time.Since(q.Received)
	f.outcome.TimeLeft = time.Until(a.deadline)
	f.outcome.noteLate(f.route)
	r.observer.Ended(&f.outcome)
}

// stoppingFor returns how long the daemon had been stopping when a request was received.
func (r *Relay) stoppingFor(q *Request) time.Duration {
	since := r.stopping.Load()
	if since == nil {
		return 0
	}
	return max(q.Received.Sub(*since), 0)
}

// tooLate reports whether the daemon is stopping and may end before the request
// does.
func (r *Relay) tooLate(a *admitted) bool {
	since := r.stopping.Load()
	return since != nil && time.Since(*since) > acceptAfterStop && a.route.Timeout > acceptAfterStop
}
