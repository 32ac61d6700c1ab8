package routing

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/routing/health"
)

// Notice records that an endpoint is leaving. From now on it receives no new
// requests. A zero leaveAt means unknown. A notice may be repeated, and may come
// before the list names the endpoint.
func (r *Router) Notice(now time.Time, id fleet.EndpointID, leaveAt time.Time) {
	r.notices.add(now.UnixNano(), id)
	e := r.endpoints[id]
	if e == nil {
		return
	}
	e.leaving = true
	if !leaveAt.IsZero() {
		e.info.LeaveAt = leaveAt.UnixMilli()
	}
	r.stale = true
}

// Stalled records that an open connection to the endpoint stopped making
// progress. The action may be a probe on a new connection.
func (r *Router) Stalled(now time.Time, id fleet.EndpointID) Action {
	e := r.endpoints[id]
	if e == nil || !e.health.Stalled(now.UnixNano()) {
		return Action{}
	}
	return e.action(Probe)
}

// DialFailed records that a new connection or a probe failed. The action may be
// an ejection.
func (r *Router) DialFailed(now time.Time, id fleet.EndpointID) Action {
	e := r.endpoints[id]
	if e == nil {
		return Action{}
	}
	r.refresh()
	if !e.health.DialFailed(now.UnixNano(), e.mayEject()) {
		return Action{}
	}
	r.stale = true
	return e.action(Eject)
}

// ProbeOK records that a new connection or a probe succeeded. The action may be
// a restoration.
func (r *Router) ProbeOK(now time.Time, id fleet.EndpointID) Action {
	e := r.endpoints[id]
	if e == nil || !e.health.Connected() {
		return Action{}
	}
	r.stale = true
	return e.action(Restore)
}

// Progress records that data arrived from the endpoint, which proves it alive.
func (r *Router) Progress(now time.Time, id fleet.EndpointID) {
	if e := r.endpoints[id]; e != nil {
		e.health.Progress(now.UnixNano())
	}
}

// Probes appends to dst the probes that are due. Call it a few times a second.
func (r *Router) Probes(now time.Time, dst []Action) []Action {
	for _, e := range r.byHandle {
		if e != nil && e.health.ProbeDue(now.UnixNano()) {
			dst = append(dst, e.action(Probe))
		}
	}
	return dst
}

// mayEject reports whether the endpoint may be ejected from all of its sets.
func (e *endpoint) mayEject() bool {
	for _, s := range e.sets {
		if !health.MayEject(s.ejected, s.present) {
			return false
		}
	}
	return true
}

// reinstate returns ejected endpoints to use while one of their sets has more
// than half of its present endpoints ejected. It reports whether it did so.
func (r *Router) reinstate() bool {
	changed := false
	for _, e := range r.byHandle {
		if e == nil || e.leaving || e.health.State() != health.Ejected || !e.overEjected() {
			continue
		}
		e.health.Reinstate()
		for _, s := range e.sets {
			s.ejected--
		}
		changed = true
	}
	return changed
}

// overEjected reports whether more than half of a set of the endpoint is ejected.
func (e *endpoint) overEjected() bool {
	for _, s := range e.sets {
		if 2*s.ejected > s.present {
			return true
		}
	}
	return false
}
