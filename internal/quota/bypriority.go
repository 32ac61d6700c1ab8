package quota

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// SpendInOrder makes all limits be spent in order of arrival, whatever the priorities.
func (q *Quota) SpendInOrder() { q.inOrder = true }

// byPriority reports whether the requests of a workspace may have several priorities.
func (q *Quota) byPriority(w *route.Workspace) bool {
	return !q.inOrder && q.priorities.several && w.Rate > 0
}

// rationingOf returns the rationing of a workspace, which begins when the workspace comes
// near its limit; nil if its limit isn't short.
func (q *Quota) rationingOf(now time.Time, w fleet.WorkspaceID, b *Bucket) *rationing {
	r := q.rationings[w]
	if !b.nearLimit(now) {
		return r
	}
	if r == nil {
		r = newRationing(now, &q.priorities, q.floorShare)
		q.rationings[w] = r
	}
	r.nearAt = now
	return r
}

// passes counts a request and reports whether the share of its route lets it pass. wait is
// the time until that share pays for it.
func (q *Quota) passes(now time.Time, w *route.Workspace, r *route.Route, b *Bucket, cost float64) (wait time.Duration, ok bool) {
	b.byPriority = r != nil && q.byPriority(w)
	if !b.byPriority {
		return 0, true
	}
	rationing := q.rationingOf(now, w.Name, b)
	if rationing == nil {
		return 0, true
	}
	d := rationing.route(r.Name)
	d.ask(cost)
	rationing.refreshShares(now, q.reportInterval, b)
	b.setShared(rationing.inForce, rationing.passingCost)
	if d.share >= 1 || !b.short(cost) {
		return 0, true
	}
	if d.passes(q.random.Float64) {
		return 0, true
	}
	b.refusedAt = now
	return rationing.refillTime(d, cost, b.fleet.Daemons), false
}

// Demands returns what this daemon was asked for of the limits that are short, by route.
func (q *Quota) Demands() Demands {
	if len(q.rationings) == 0 {
		return nil
	}
	out := make(Demands, len(q.rationings))
	for w, r := range q.rationings {
		if d := r.demand(); len(d) > 0 {
			out[w] = d
		}
	}
	return out
}

// UpdateDemands takes a hub's sums of all other daemons' demand for limits that are short.
func (q *Quota) UpdateDemands(now time.Time, hub string, all Demands) {
	for w := range all {
		if b, known := q.buckets[w], q.workspaces[w]; b != nil && known != nil && q.byPriority(known) {
			q.rationingOf(now, w, b)
		}
	}
	for w, r := range q.rationings {
		r.update(now, hub, q.reportInterval, all[w])
	}
}

// LimitShares returns the shares of the workspaces whose limit is spent by priority.
func (q *Quota) LimitShares(now time.Time) map[fleet.WorkspaceID]RouteShares {
	out := map[fleet.WorkspaceID]RouteShares{}
	for w, r := range q.rationings {
		if shares := r.shares(now); shares != nil {
			out[w] = shares
		}
	}
	return out
}

// endRationing drops the rationing of workspaces that haven't been near their limit for a
// while.
func (q *Quota) endRationing(now time.Time) {
	for w, r := range q.rationings {
		b := q.buckets[w]
		if b.nearLimit(now) {
			r.nearAt = now
		}
		if now.Sub(r.nearAt) > rationedTime {
			b.setShared(false, 0)
			delete(q.rationings, w)
		}
	}
}

// setPriorities applies the priorities of a configuration.
func (q *Quota) setPriorities(t *route.Table) {
	q.priorities = newPriorities(t)
	q.workspaces = make(map[fleet.WorkspaceID]*route.Workspace, len(t.Workspaces))
	for i := range t.Workspaces {
		q.workspaces[t.Workspaces[i].Name] = &t.Workspaces[i]
	}
	for w, r := range q.rationings {
		if known := q.workspaces[w]; known == nil || !q.byPriority(known) {
			q.buckets[w].setShared(false, 0)
			delete(q.rationings, w)
			continue
		}
		r.setPriorities(&q.priorities)
	}
}
