package relay

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/memlimit"
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
	durations durations
	// answerMemory limits the answers that aren't passed on yet.
	answerMemory *memlimit.Limit
	stopping     atomic.Pointer[stop] // nil before the daemon stops
	closed       atomic.Bool          // no further request is accepted
	active       atomic.Int64
	// ending ends when the requests in progress must, by endAll.
	ending context.Context
	endAll context.CancelCauseFunc
}

// New returns a relay that takes its decisions from state and its connections from
// pool.
func New(state *State, pool *upstream.Pool, protocol Protocol, observer Observer, guard Guard) *Relay {
	r := &Relay{state: state, pool: pool, protocol: protocol, observer: observer, guard: guard, origins: noOrigins{}, answerMemory: memlimit.New(defaultAnswerBytes)}
	r.ending, r.endAll = context.WithCancelCause(context.Background())
	return r
}

// Active returns the number of requests in progress.
func (r *Relay) Active() int { return int(r.active.Load()) }

// Serve runs a request to its end and sends the answer to sink. ctx must end when
// the caller disconnects.
func (r *Relay) Serve(ctx context.Context, q *Request, sink Sink) {
	a, refusal := r.state.admit(time.Now(), q)
	r.serve(ctx, q, a, refusal, sink, false)
}

// Check refuses a request, of which only the head has arrived, that can't be served whatever its body
// is. Otherwise it returns by when the request must have ended.
func (r *Relay) Check(ctx context.Context, q *Request, sink Sink) (deadline time.Time, ok bool) {
	r.state.mu.Lock()
	a, refusal := r.state.match(q)
	r.state.mu.Unlock()
	if refusal != nil {
		r.serve(ctx, q, a, refusal, sink, false)
		return time.Time{}, false
	}
	return a.deadline, true
}

// serve runs a request that was admitted or refused. forwarded says that another daemon
// has admitted it.
func (r *Relay) serve(ctx context.Context, q *Request, a *admitted, refusal *Refusal, sink Sink, forwarded bool) {
	r.active.Add(1)
	defer r.active.Add(-1)
	if refusal == nil && !r.accepts(q, a) {
		r.state.refund(a)
		refusal = notRun(Stopping, 0)
	}
	if refusal != nil {
		sink.Refuse(refusal.confirmed(sink.Deliveries()))
		o := initialOutcome(q, a)
		o.Forwarded = forwarded
		o.StoppingFor = r.stoppingFor(q)
		o.Deliveries = sink.Deliveries().Records()
		o.Reason, o.Total, o.RetryAfter = refusal.Reason, time.Since(q.Received), refusal.RetryAfter
		r.observer.Ended(&o)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, a.deadline)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	defer context.AfterFunc(r.ending, func() { abort(errStopped) })()
	if a.route.Repeatable() {
		sink.Deliveries().AllowRepeats()
	}
	f := newInflight(r, q, a, sink, forwarded)
	defer f.releaseHeld()
	f.outcome.StoppingFor = r.stoppingFor(q)
	f.run(ctx)
	f.outcome.Total = time.Since(q.Received)
	f.outcome.Deliveries = sink.Deliveries().Records()
	f.outcome.TimeLeft = time.Until(a.deadline)
	f.outcome.noteLate(f.route)
	if f.outcome.Reason == "" {
		r.durations.add(f.route.Name, f.outcome.Total)
	}
	r.observer.Ended(&f.outcome)
}
