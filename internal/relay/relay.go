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
	stopping atomic.Pointer[time.Time] // since when this daemon leaves
	active   atomic.Int64
}

// New returns a relay.
func New(state *State, pool *upstream.Pool, protocol Protocol, observer Observer, guard Guard) *Relay {
	return &Relay{state: state, pool: pool, protocol: protocol, observer: observer, guard: guard}
}

// Active returns the number of requests under way.
func (r *Relay) Active() int { return int(r.active.Load()) }

// Stop notes that this daemon leaves: streams that come late are refused,
// since they could outlast it.
func (r *Relay) Stop(now time.Time) { r.stopping.CompareAndSwap(nil, &now) }

// acceptAfterStop is how long after the beginning of a stop streams are still
// taken: the platform kills a process 8 s after its notice, and a stream takes
// some 2 to 3 s.
const acceptAfterStop = 2500 * time.Millisecond

// Serve carries a request to its end. The context ends when the caller leaves.
func (r *Relay) Serve(ctx context.Context, q *Request, sink Sink) {
	r.active.Add(1)
	defer r.active.Add(-1)
	a, refusal := r.state.admit(time.Now(), q)
	if refusal == nil && r.tooLate(a) {
		r.state.refund(a)
		refusal = notRun(Stopping, 0)
	}
	if refusal != nil {
		sink.Refuse(*refusal)
		o := initialOutcome(q, a)
		o.Reason, o.Total, o.RetryAfter = refusal.Reason, time.Since(q.Received), refusal.RetryAfter
		r.observer.Ended(&o)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	f := newInflight(r, q, a, sink)
	f.run(ctx)
	f.outcome.Total = time.Since(q.Received)
	f.outcome.TimeLeft = time.Until(a.deadline)
	f.outcome.noteLate(f.route)
	r.observer.Ended(&f.outcome)
}

func (r *Relay) tooLate(a *admitted) bool {
	since := r.stopping.Load()
	return since != nil && time.Since(*since) > acceptAfterStop && a.route.Timeout > acceptAfterStop
}
