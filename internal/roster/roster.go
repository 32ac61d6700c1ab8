package roster

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// OutageGrace is how long an endpoint whose entry has lapsed in an outage of
// the registry still counts, from the beginning of the last call that failed:
// an endpoint that lives is listed again within two seconds of the registry's
// return (the platform's statement), which came after that. Where it was this
// daemon that was cut off, an endpoint may have left in truth; three seconds
// after the cut it must not get requests, and the cut lasted until after that
// beginning as well.
const OutageGrace = 2800 * time.Millisecond

// RemovalHold bounds that for a removal that is seen as it happens: an endpoint
// that leaves without a word may be sent requests for two seconds more, of
// which the rest is for the next tick and the request's way.
const RemovalHold = 1400 * time.Millisecond

// Roster holds the endpoints of all services. It is not safe for concurrent
// use; Snapshots are.
type Roster struct {
	endpoints  map[fleet.EndpointID]Endpoint
	held       map[fleet.EndpointID]time.Time // removed, but kept until then
	leaving    map[fleet.EndpointID]time.Time // when those were born that had said that they leave
	graceEnd   time.Time                      // of the last outage
	catchingUp bool                           // what happened in it is not known yet
	changed    bool
	applied    uint64 // the registry's revision that was taken in
	complete   uint64 // the same, up to which nothing is held back
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{endpoints: map[fleet.EndpointID]Endpoint{}, held: map[fleet.EndpointID]time.Time{}, leaving: map[fleet.EndpointID]time.Time{}}
}

// OutageEnded notes that the registry answers again after an outage, in which
// entries may have lapsed for want of a registry to renew them at. failed is
// when the last call began that was not answered.
func (r *Roster) OutageEnded(failed time.Time) {
	r.graceEnd = failed.Add(OutageGrace)
	r.catchingUp = true
}

// CaughtUp notes that all that happened in the outage was taken in.
func (r *Roster) CaughtUp() { r.catchingUp = false }

// Applied notes that all changes up to a revision of the registry were taken in.
func (r *Roster) Applied(revision uint64) {
	r.applied = revision
	r.updateComplete()
}

// Revision returns the registry's revision up to which all was taken in.
func (r *Roster) Revision() uint64 { return r.applied }

// CompleteRevision returns the revision up to which everything took effect. Failure:
// somebody goes on from this roster with the registry's changes after the
// revision that it has reached, while an end is held back here. Symptom: they
// never hear of that end, and send requests to an endpoint that is gone.
func (r *Roster) CompleteRevision() uint64 { return r.complete }

func (r *Roster) updateComplete() {
	if len(r.held) == 0 {
		r.complete = r.applied
	}
}

// Upsert takes an entry that is new or changed, but not one of an earlier start
// than is known: that is a stale list's.
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
		r.recordLeave(&e)
	}
	delete(r.held, e.ID)
	r.endpoints[e.ID] = e
	r.changed = true
}

// announcedLeave reports whether an endpoint of that life had said that it leaves, which
// it doesn't take back. Failure: the registry comes back from a copy some seconds
// old. Symptom: an endpoint that leaves, or has left, is listed as one that
// doesn't, and gets requests.
func (r *Roster) announcedLeave(e *Endpoint) bool {
	born, ok := r.leaving[e.ID]
	return ok && !e.StartedAt.IsZero() && e.StartedAt.Equal(born)
}

func (r *Roster) recordLeave(e *Endpoint) {
	if len(r.leaving) >= maxLeaving {
		clear(r.leaving)
	}
	r.leaving[e.ID] = e.StartedAt
}

// maxLeaving bounds the endpoints that are known to have left: those of some hours
// of an ordinary day. They are forgotten all at once; copies are seconds old.
const maxLeaving = 4096

// Remove takes an entry's end. An endpoint that did not say that it leaves may
// have lapsed with the registry, and counts until the grace is over.
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

// Withdraw ends an endpoint whose entry no longer names one.
func (r *Roster) Withdraw(id fleet.EndpointID) {
	if _, known := r.endpoints[id]; known {
		r.drop(id)
	}
}

// holdUntil returns when an endpoint whose entry has gone stops to count.
func (r *Roster) holdUntil(now time.Time) time.Time {
	if held := now.Add(RemovalHold); !r.catchingUp && held.Before(r.graceEnd) {
		return held
	}
	return r.graceEnd
}

// Replace takes the whole list: what is not in it is removed.
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

// Tick ends the endpoints whose grace is over. It should be called a few times
// a second.
func (r *Roster) Tick(now time.Time) {
	for id, until := range r.held {
		if !now.Before(until) {
			r.drop(id)
		}
	}
	r.updateComplete()
}

// Changed reports whether the endpoints changed since the last snapshot.
func (r *Roster) Changed() bool { return r.changed }

// Snapshot returns the endpoints by id, and whether they changed since the
// last call. It takes time that grows with them.
func (r *Roster) Snapshot() ([]Endpoint, bool) {
	changed := r.changed
	r.changed = false
	all := slices.SortedFunc(maps.Values(r.endpoints), func(a, b Endpoint) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
	return all, changed
}

func (r *Roster) drop(id fleet.EndpointID) {
	delete(r.endpoints, id)
	delete(r.held, id)
	r.changed = true
}
