package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/estimate"
)

// SetEndpoints replaces the list of endpoints. The state of endpoints that are
// in both lists is kept. An endpoint under notice stays so even if the list
// reports it as live.
func (r *Router) SetEndpoints(now time.Time, list []fleet.Endpoint) {
	r.generation++
	for i := range list {
		r.put(now.UnixNano(), list[i])
	}
	for id, e := range r.endpoints {
		if e.listed != r.generation {
			r.remove(id, e)
		}
	}
	r.notices.prune(now.UnixNano(), r.endpoints)
	r.regroup()
}

func (r *Router) put(now int64, info fleet.Endpoint) {
	e := r.endpoints[info.ID]
	if e == nil {
		e = newEndpoint(info, r.takeHandle())
		r.byHandle[e.handle] = e
		r.endpoints[info.ID] = e
	}
	e.info = info
	e.listed = r.generation
	e.rtt = r.rtt(info)
	e.tokenLatency = r.tokenLatency(info.Class)
	if info.State == fleet.Leaving {
		r.notices.add(now, info.ID)
	}
	e.leaving = r.notices.has(info.ID)
}

func (r *Router) remove(id fleet.EndpointID, e *endpoint) {
	delete(r.endpoints, id)
	for key := range r.attempts {
		if key.endpoint == id {
			delete(r.attempts, key)
		}
	}
	r.index.Forget(e.handle)
	r.byHandle[e.handle] = nil
	r.freeHandles = append(r.freeHandles, e.handle)
}

func (r *Router) takeHandle() uint32 {
	if n := len(r.freeHandles); n > 0 {
		handle := r.freeHandles[n-1]
		r.freeHandles = r.freeHandles[:n-1]
		return handle
	}
	r.byHandle = append(r.byHandle, nil)
	return uint32(len(r.byHandle) - 1)
}

// rtt returns the assumed round trip to an endpoint in seconds.
func (r *Router) rtt(info fleet.Endpoint) float64 {
	switch {
	case info.DataCentre == r.self:
		return 0
	case info.Region == r.config.Region:
		return r.config.SameRegionRTT.Seconds()
	default:
		return r.config.OtherRegionRTT.Seconds()
	}
}

// tokenLatency returns the model of a machine class.
func (r *Router) tokenLatency(name string) *estimate.TokenLatency {
	l := r.classes[name]
	if l == nil {
		l = &estimate.TokenLatency{}
		r.classes[name] = l
	}
	return l
}

// regroup assigns each endpoint to its sets. A set that had the same key before
// is reused.
func (r *Router) regroup() {
	old := r.sets
	r.sets = make(map[setKey]*replicaSet, len(old))
	for _, e := range r.byHandle {
		if e == nil {
			continue
		}
		e.sets = e.sets[:0]
		if e.info.Kind == fleet.ServiceEndpoint {
			r.join(e, setKey{service: e.info.Service}, old)
			continue
		}
		for _, m := range e.info.Models {
			r.join(e, setKey{model: m}, old)
			m.Version = "" // requests without a version accept any
			r.join(e, setKey{model: m}, old)
		}
	}
	r.stale = true
}

// join adds the set of a key to those of the endpoint, at most once.
func (r *Router) join(e *endpoint, key setKey, old map[setKey]*replicaSet) {
	s := r.sets[key]
	if s == nil {
		s = old[key]
		if s == nil {
			s = &replicaSet{}
		}
		r.sets[key] = s
	}
	for _, have := range e.sets {
		if have == s {
			return
		}
	}
	e.sets = append(e.sets, s)
}

// refresh rebuilds the members of all sets after a change. If a set shrank so
// that more than half of it is ejected, endpoints are reinstated.
func (r *Router) refresh() {
	if !r.stale {
		return
	}
	r.stale = false
	r.fill()
	if r.reinstate() {
		r.fill()
	}
}

func (r *Router) fill() {
	for _, s := range r.sets {
		s.reset()
	}
	for _, e := range r.byHandle {
		if e == nil {
			continue
		}
		for _, s := range e.sets {
			s.add(e)
		}
	}
}
