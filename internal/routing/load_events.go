package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// ReportLoad records an engine's load report, which may be late.
func (r *Router) ReportLoad(_ time.Time, id fleet.EndpointID, load engineapi.Load) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	slots, prefill := e.load.Slots(), e.load.PrefillRate()
	e.load.Report(load)
	if slots != e.load.Slots() || prefill != e.load.PrefillRate() {
		r.stale = true // rendezvous weights and token prices depend on them
	}
	e.tokenLatency.Add(load.Running, load.TokenMillis/1000)
	r.index.SetCapacity(e.handle, load.CacheBlocks)
}

// ReportCache records a page of an engine's cache events, which may be late and
// have gaps. Pages must come in order; repeating the last one has no effect. A
// page that ends before the last one did is from a restarted engine, whose cache
// was empty.
func (r *Router) ReportCache(_ time.Time, id fleet.EndpointID, page engineapi.CacheEvents) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	if page.Next < e.nextSeq {
		r.index.Forget(e.handle)
		e.nextSeq = 0
	}
	for _, event := range page.Events {
		r.cacheEvent(e, event)
	}
	r.skipTo(e, page.Next)
}

func (r *Router) cacheEvent(e *endpoint, event engineapi.CacheEvent) {
	if event.Seq < e.nextSeq {
		return
	}
	r.skipTo(e, event.Seq)
	e.nextSeq = event.Seq + 1
	if event.Stored {
		r.index.Store(e.handle, event.Hash)
	} else {
		r.index.Evicted(e.handle, event.Hash)
	}
}

// skipTo counts the events before seq as lost, unless this is the first page.
func (r *Router) skipTo(e *endpoint, seq uint64) {
	if e.nextSeq != 0 && seq > e.nextSeq {
		r.index.Lost(e.handle, seq-e.nextSeq)
	}
	e.nextSeq = max(e.nextSeq, seq)
}

// Dispatched records that an attempt was sent to the endpoint of the choice.
func (r *Router) Dispatched(now time.Time, id fleet.EndpointID, q *Request, c Choice) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	key := attemptKey{endpoint: id, request: q.ID}
	r.end(now.UnixNano(), key) // a reservation, or the same attempt reported before
	uncached := max(0, q.PromptTokens-c.PredictedCachedTokens)
	r.attempts[key] = attempt{
		started:  now.UnixNano(),
		uncached: uncached,
	}
	e.load.Dispatched(now.UnixNano(), uncached)
	for _, hash := range q.Blocks {
		r.index.Store(e.handle, hash)
	}
}

// FirstToken records that the first token of an attempt arrived.
func (r *Router) FirstToken(now time.Time, id fleet.EndpointID, req fleet.RequestID) {
	e := r.endpoints[id]
	key := attemptKey{endpoint: id, request: req}
	a, ok := r.attempts[key]
	if e == nil || !ok || a.firstToken != 0 || a.expires != 0 {
		return
	}
	at := now.UnixNano()
	e.load.Prefilled(at, a.uncached)
	e.health.Progress(at)
	a.firstToken, a.uncached = at, 0
	r.attempts[key] = a
}

// Finished ends an attempt with any outcome. It ignores an unknown attempt.
func (r *Router) Finished(now time.Time, id fleet.EndpointID, req fleet.RequestID, outcome Outcome) {
	key := attemptKey{endpoint: id, request: req}
	a, ok := r.end(now.UnixNano(), key)
	if !ok || outcome != Answered {
		return
	}
	e := r.endpoints[id]
	if e != nil {
		e.latency.add(seconds(now.UnixNano() - a.started))
	}
	if a.firstToken != 0 {
		r.decode.add(seconds(now.UnixNano() - a.firstToken))
	}
}

// end removes an attempt or a reservation and its load. It returns false if
// there is none.
func (r *Router) end(now int64, key attemptKey) (attempt, bool) {
	a, ok := r.attempts[key]
	if !ok {
		return attempt{}, false
	}
	delete(r.attempts, key)
	e := r.endpoints[key.endpoint]
	switch {
	case e == nil:
	case a.expires != 0:
		e.load.Release(a.uncached)
	default:
		e.load.Finished(now, a.uncached)
	}
	return a, true
}

func seconds(ns int64) float64 { return float64(ns) / 1e9 }
