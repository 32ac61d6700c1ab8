package routing

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// reservationTTL is how long a reservation holds when it is neither used nor
// released: a mover that failed would otherwise make an engine look full for
// good. A move takes a few seconds.
const reservationTTL = 30 * time.Second

// PickAndReserve chooses where a request under notice moves to and reserves a place
// there, so that the next choices of the same wave see it taken. The
// reservation ends by Dispatched, Release or after reserveLife.
func (r *Router) PickAndReserve(now time.Time, q *Request) (Choice, error) {
	c, err := r.Pick(now, q)
	if err != nil {
		return c, err
	}
	r.Reserve(now, c.Endpoint, q.ID, q.PromptTokens-c.PredictedCachedTokens)
	return c, nil
}

// Destination is an endpoint that could take more requests.
type Destination struct {
	Choice
	Free int // requests until a target of latency breaks, reservations counted
}

// Destinations appends at most n endpoints that may take the request, those with
// the most free places first. It looks at every endpoint that serves it, so
// it is for plans and not for every request.
func (r *Router) Destinations(now time.Time, q *Request, n int, dst []Destination) []Destination {
	r.refresh()
	r.expire(now.UnixNano())
	s := r.sets[setKey{model: q.Model, service: q.Service}]
	if s == nil {
		return dst
	}
	start := len(dst)
	f := filter{request: q, avoid: q.Avoid}
	for _, e := range s.members {
		if !f.ok(e) {
			continue
		}
		c := r.predict(now.UnixNano(), e, q, r.cachedBlocks(e, q))
		dst = append(dst, Destination{Choice: c.choice(c.overloaded(r.target, r.refusalSlack())), Free: max(0, int(c.limit-c.requests))})
	}
	slices.SortStableFunc(dst[start:], func(a, b Destination) int { return b.Free - a.Free })
	return dst[:min(len(dst), start+n)]
}

// Reserve promises a place at an endpoint to a request that brings the given
// prompt tokens to compute. Repeating it replaces the promise.
func (r *Router) Reserve(now time.Time, id fleet.EndpointID, req fleet.RequestID, tokens int) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	key := attemptKey{endpoint: id, request: req}
	if a, ok := r.attempts[key]; ok && a.expires == 0 {
		return // it runs there already
	}
	r.end(now.UnixNano(), key)
	expires := now.Add(reservationTTL).UnixNano()
	r.attempts[key] = attempt{started: now.UnixNano(), uncached: tokens, expires: expires}
	e.load.Reserve(tokens)
	r.reserved = append(r.reserved, reservation{key: key, expires: expires})
}

// Release takes a promise back. It does nothing to a dispatched attempt.
func (r *Router) Release(now time.Time, id fleet.EndpointID, req fleet.RequestID) {
	key := attemptKey{endpoint: id, request: req}
	if a, ok := r.attempts[key]; ok && a.expires != 0 {
		r.end(now.UnixNano(), key)
	}
}

// reservation is a promise in the order made, which is that of running out.
type reservation struct {
	key     attemptKey
	expires int64
}

// expire ends the reservations that ran out.
func (r *Router) expire(now int64) {
	n := 0
	for n < len(r.reserved) && r.reserved[n].expires <= now {
		key := r.reserved[n].key
		if a, ok := r.attempts[key]; ok && a.expires == r.reserved[n].expires {
			r.end(now, key)
		}
		n++
	}
	r.reserved = r.reserved[n:]
}
