package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// OutageGrace is how long an endpoint whose entry expired in an outage of the
// registry is kept, counted from the start of the last failed call. The platform
// states that a live endpoint is listed again within two seconds of the registry's
// return. If only this daemon was partitioned from the registry, the endpoint may
// really have left, and must get no requests from three seconds after the end of
// the partition on. Both the registry's return and the end of the partition are
// after the start of the last failed call.
const OutageGrace = 2800 * time.Millisecond

// RemovalHold is the shorter limit for a removal that is received as it happens,
// after the changes during the outage were applied. An endpoint that leaves
// without notice may be sent requests for two more seconds; the difference allows
// for the next tick and for a request's transmission.
const RemovalHold = 1400 * time.Millisecond

// Roster holds the endpoints of all services. It is not safe for concurrent use,
// but its snapshots are.
type Roster struct {
	endpoints  map[fleet.EndpointID]Endpoint
	held       map[fleet.EndpointID]time.Time // removed from the registry, but kept until then
	leaving    map[fleet.EndpointID]leave     // endpoints that announced their leave
	graceEnd   time.Time                      // end of OutageGrace after the last outage
	catchingUp bool                           // changes during the outage are not applied yet
	changed    bool
	applied    uint64 // the newest applied revision of the registry
	complete   uint64 // the newest revision up to which no removal is held back
}

// leave is the announcement of a run of an endpoint that it leaves.
type leave struct {
	startedAt time.Time // of the run, zero if unknown
	// stated says that the endpoint itself announced it in an answer, which no entry revokes.
	stated bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{endpoints: map[fleet.EndpointID]Endpoint{}, held: map[fleet.EndpointID]time.Time{}, leaving: map[fleet.EndpointID]leave{}}
}

// OutageEnded records that the registry answers again after an outage, in which
// entries may have expired because they couldn't be renewed. failed is when the
// last unanswered call started.
func (r *Roster) OutageEnded(failed time.Time) {
	r.graceEnd = failed.Add(OutageGrace)
	r.catchingUp = true
}

// CaughtUp records that all changes during the outage were applied.
func (r *Roster) CaughtUp() { r.catchingUp = false }

// Applied records that all changes up to a revision of the registry were applied.
func (r *Roster) Applied(revision uint64) {
	r.applied = revision
	r.updateComplete()
}

// Revision returns the registry's revision up to which all changes were applied.
func (r *Roster) Revision() uint64 { return r.applied }

// CompleteRevision returns the revision up to which all changes took effect: while
// a removal is held back, it stays below Revision. A receiver of this roster's
// snapshot must continue with the registry's changes after CompleteRevision: after
// Revision, it would miss the held removal and send requests to an endpoint that
// is gone.
func (r *Roster) CompleteRevision() uint64 { return r.complete }

// updateComplete advances the complete revision unless a removal is held back.
func (r *Roster) updateComplete() {
	if len(r.held) == 0 {
		r.complete = r.applied
	}
}

// Upsert adds or replaces an entry. An entry with an earlier start than the present
// one is from a stale list and is ignored.
func (r *Roster) Upsert(e Endpoint) {
	known, ok := r.endpoints[e.ID]
	if ok && e.RestartedAs(&known) {
		return
	}
	if r.announcedLeave(&e) {
		if !ok {
			return
		}
		e.Draining = true
	}
	if e.Draining {
		r.recordLeave(e.ID, leave{startedAt: e.StartedAt})
	}
	delete(r.held, e.ID)
	r.endpoints[e.ID] = e
	r.changed = true
}

// announcedLeave reports whether the endpoint announced its leave since its start.
// That is final: if the registry is restored from a copy some seconds old, it may
// list a leaving or departed endpoint as serving, which must get no requests.
func (r *Roster) announcedLeave(e *Endpoint) bool {
	l, ok := r.leaving[e.ID]
	return ok && e.StartedAt.Equal(l.startedAt) && (l.stated || !e.StartedAt.IsZero())
}

// Leaves records that a run of an endpoint, which started at a time or at an unknown one, has
// said in an answer that it leaves. Only a later run brings the endpoint back, or, without start
// times, an entry after its removal.
func (r *Roster) Leaves(id fleet.EndpointID, startedAt time.Time) {
	r.recordLeave(id, leave{startedAt, true})
	if e, ok := r.endpoints[id]; ok && !e.Draining && e.StartedAt.Equal(startedAt) {
		e.Draining = true
		r.endpoints[id] = e
		r.changed = true
	}
}

func (r *Roster) recordLeave(id fleet.EndpointID, l leave) {
	if len(r.leaving) >= maxLeaving {
		clear(r.leaving)
	}
	old := r.leaving[id]
	l.stated = l.stated || old.stated && old.startedAt.Equal(l.startedAt)
	r.leaving[id] = l
}

// maxLeaving limits the recorded leaves, to those of several hours at the usual
// rate. All are removed at once, since the registry's copies are only seconds old.
const maxLeaving = 4096

// Remove handles the removal of an entry from the registry. The entry of an
// endpoint that did not announce its leave may have expired because of an outage;
// within the grace period, it is kept for a while.
func (r *Roster) Remove(now time.Time, id fleet.EndpointID) {
	e, known := r.endpoints[id]
	if !known {
		return
	}
	if now.Before(r.graceEnd) && !e.Draining {
		r.held[id] = r.holdUntil(now)
		return
	}
	r.drop(id)
}

// Withdraw drops an endpoint whose entry no longer describes one.
func (r *Roster) Withdraw(id fleet.EndpointID) {
	if _, known := r.endpoints[id]; known {
		r.drop(id)
	}
}

// holdUntil returns until when an endpoint is kept whose entry was removed at now.
func (r *Roster) holdUntil(now time.Time) time.Time {
	if held := now.Add(RemovalHold); !r.catchingUp && held.Before(r.graceEnd) {
		return held
	}
	return r.graceEnd
}

// Replace applies a complete list: endpoints that are not in it are removed.
func (r *Roster) Replace(now time.Time, all []Endpoint) {
	listed := make(map[fleet.EndpointID]bool, len(all))
	for _, e := range all {
		listed[e.ID] = true
		r.Upsert(e)
	}
	for id := range maps.Clone(r.endpoints) {
		if !listed[id] {
			r.Remove(now, id)
		}
	}
}

// Tick drops the endpoints whose removal is no longer held back. It should be
// called a few times a second.
func (r *Roster) Tick(now time.Time) {
	for id, until := range r.held {
		if !now.Before(until) {
			r.drop(id)
		}
	}
	r.updateComplete()
}

// Changed reports whether endpoints changed since the last snapshot.
func (r *Roster) Changed() bool { return r.changed }

// Snapshot returns the endpoints sorted by ID, and whether they changed since the
// last call. It takes O(n log n) for n endpoints.
func (r *Roster) Snapshot() ([]Endpoint, bool) {
	changed := r.changed
	r.changed = false
	all := slices.SortedFunc(maps.Values(r.endpoints), func(a, b Endpoint) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return all, changed
}

func (r *Roster) drop(id fleet.EndpointID) {
	if r.endpoints[id].StartedAt.IsZero() {
		delete(r.leaving, id)
	}
	delete(r.endpoints, id)
	delete(r.held, id)
	r.changed = true
}
