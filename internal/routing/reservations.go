package routing

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// reservationTTL is the lifetime of a reservation that is neither used nor
// released. Without it, a failed move would make an engine look full for ever. A
// move takes a few seconds.
const reservationTTL = 30 * time.Second

// PickAndReserve chooses the endpoint to which a request moves from one under
// notice, and reserves capacity there, so that the choices for other requests
// that move at the same time take it into account. The reservation ends with
// Dispatched, with Release or after reservationTTL.
func (r *Router) PickAndReserve(now time.Time, q *Request) (Choice, error) {
	c, err := r.Pick(now, q)
	if err != nil {
		return c, err
	}
	r.Reserve(now, c.Endpoint, q.ID, q.PromptTokens-c.PredictedCachedTokens)
	return c, nil
}

// Destination is an endpoint to which requests can be moved.
type Destination struct {
	Choice
	Free int // requests that it can still take within the target between tokens
}

// Destinations appends to dst at most n endpoints that can serve the request,
// those with the most free capacity first. It visits every endpoint that serves
// the request, so it is for planning, not for each request.
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

// Reserve reserves capacity at an endpoint for a request that has the given
// number of prompt tokens to compute. Repeating it replaces the reservation.
func (r *Router) Reserve(now time.Time, id fleet.EndpointID, req fleet.RequestID, tokens int) {
	e := r.endpoints[id]
	if e == nil {
		return
	}
	key := attemptKey{endpoint: id, request: req}
	if a, ok := r.attempts[key]; ok && a.expires == 0 {
		return // dispatched already
	}
	r.end(now.UnixNano(), key)
	expires := now.Add(reservationTTL).UnixNano()
	r.attempts[key] = attempt{started: now.UnixNano(), uncached: tokens, expires: expires}
	e.load.Reserve(tokens)
	r.reserved = append(r.reserved, reservation{key: key, expires: expires})
}

// Release ends a reservation. It has no effect on a dispatched attempt.
func (r *Router) Release(now time.Time, id fleet.EndpointID, req fleet.RequestID) {
	key := attemptKey{endpoint: id, request: req}
	if a, ok := r.attempts[key]; ok && a.expires != 0 {
		r.end(now.UnixNano(), key)
	}
}

// reservation is an entry of Router.reserved.
type reservation struct {
	key     attemptKey
	expires int64
}

// expire ends the reservations whose lifetime is over.
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
