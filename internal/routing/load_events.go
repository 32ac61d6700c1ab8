package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/engineapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// ReportLoad takes in an engine's load report, however late.
func (r *Router) ReportLoad(_ time.Time, id fleet.EndpointID, load engineapi.Load) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	slots, prefill := e.load.Slots(), e.load.PrefillRate()
	e.load.Report(load)
	if slots != e.load.Slots() || prefill != e.load.PrefillRate() {
		r.stale = true // ranks and prices rest on them
	}
	e.tokenLatency.Add(load.Running, load.TokenMillis/1000)
	r.index.SetCapacity(e.handle, load.CacheBlocks)
}

// ReportCache takes in a page of an engine's cache events, late and with
// gaps. Pages are given in order; repeating the last one does no harm. One
// that ends before the last page did comes from a restarted engine, whose
// cache is empty.
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

// skipTo counts the events up to seq as lost. What came before the first page
// isn't counted.
func (r *Router) skipTo(e *endpoint, seq uint64) {
	if e.nextSeq != 0 && seq > e.nextSeq {
		r.index.Lost(e.handle, seq-e.nextSeq)
	}
	e.nextSeq = max(e.nextSeq, seq)
}

// Dispatched says that an attempt left for the endpoint of the choice.
func (r *Router) Dispatched(now time.Time, id fleet.EndpointID, q *Request, c Choice) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	key := attemptKey{endpoint: id, request: q.ID}
	r.end(now.UnixNano(), key) // a reservation, or the same attempt told twice
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

// FirstToken says that the attempt's first token came.
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

// Finished ends an attempt, whatever became of it. An unknown one is ignored.
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

// end forgets an attempt or a reservation and takes it off the load.
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
