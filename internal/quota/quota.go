package quota

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// Quota holds the buckets of all workspaces. It is not safe for concurrent use.
type Quota struct {
	buckets map[fleet.WorkspaceID]*Bucket
	spent   map[fleet.WorkspaceID]float64 // by this daemon since its start
	full    bool                          // new buckets start full
}

// New returns a Quota. full says that the whole system starts for the first
// time; otherwise what was spent before this process started is not known, and
// buckets start empty.
func New(full bool) *Quota {
	return &Quota{
		buckets: map[fleet.WorkspaceID]*Bucket{},
		spent:   map[fleet.WorkspaceID]float64{},
		full:    full,
	}
}

// Configure takes the limits of a table.
func (q *Quota) Configure(now time.Time, t *route.Table) {
	for i := range t.Workspaces {
		w := &t.Workspaces[i]
		if b, ok := q.buckets[w.Name]; ok {
			b.SetLimit(now, w.Rate, w.Burst)
			continue
		}
		level := 0.0
		if q.full {
			level = w.Burst
		}
		q.buckets[w.Name] = NewBucket(now, w.Rate, w.Burst, level)
	}
}

// Take asks for a request of a workspace. Where it is refused, wait is when it
// could be let in.
func (q *Quota) Take(now time.Time, w *route.Workspace, cost float64) (wait time.Duration, ok bool) {
	b := q.buckets[w.Name]
	if b == nil || w.Rate <= 0 {
		return 0, true
	}
	wait, ok = b.Take(now, cost)
	if ok {
		q.spent[w.Name] += cost
	}
	return wait, ok
}

// GiveBack returns the cost of a request that no endpoint ran.
func (q *Quota) GiveBack(w *route.Workspace, cost float64) {
	if b := q.buckets[w.Name]; b != nil && w.Rate > 0 {
		b.GiveBack(cost)
		q.spent[w.Name] -= cost
	}
}

// Spent returns what this daemon has let in since its start, by workspace.
func (q *Quota) Spent() map[fleet.WorkspaceID]float64 { return q.spent }

// Others takes the spending of all other daemons by workspace. same says that
// the totals before had the same base.
func (q *Quota) Others(now time.Time, totals map[fleet.WorkspaceID]float64, same bool) {
	for name, total := range totals {
		if b := q.buckets[name]; b != nil {
			b.Others(now, total, same)
		}
	}
}
