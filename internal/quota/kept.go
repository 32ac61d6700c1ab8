package quota

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Kept is what is kept of a workspace's limit for a fleet that is killed at once.
type Kept struct {
	Left     float64 `json:"left"`     // that could be spent, in the workspace's unit
	Spending float64 `json:"spending"` // of all daemons, a second
}

const (
	// unkept is the time for which a fleet's spending before it was killed is in
	// nothing that was kept: what is kept is written each second, from reports that
	// are some tenths of a second old.
	unkept = 1400 * time.Millisecond
	// keptFor is how old what was kept may be: a kill, a restart and the time
	// since it was written. Older, it says nothing of what was spent since.
	keptFor = 3 * time.Second
)

// Keep returns what is to be kept, by workspace.
func (q *Quota) Keep(now time.Time) map[fleet.WorkspaceID]Kept {
	out := make(map[fleet.WorkspaceID]Kept, len(q.buckets))
	for name, b := range q.buckets {
		out[name] = b.keep(now)
	}
	return out
}

// Restore takes what was kept some time ago, where nobody has told this daemon
// anything yet. Failure: all daemons are killed and start again, and nobody knows
// what is left, so that each takes it for nothing. Symptom: callers far below their
// limits are refused for half a second.
func (q *Quota) Restore(now time.Time, ago time.Duration, kept map[fleet.WorkspaceID]Kept) {
	if q.full || ago < 0 || ago > keptFor {
		return
	}
	q.kept, q.keptAt = kept, now.Add(-ago)
	for name, b := range q.buckets {
		q.restore(now, name, b)
	}
}

// restore gives a bucket what was kept of it. Limits are known later at times.
func (q *Quota) restore(now time.Time, name fleet.WorkspaceID, b *Bucket) {
	if k, ok := q.kept[name]; ok {
		b.restore(now, now.Sub(q.keptAt), k)
	}
}

func (b *Bucket) keep(now time.Time) Kept {
	b.fill(now)
	return Kept{Left: b.level - b.predicted, Spending: b.ownRate + b.othersRate}
}

// restore takes the kept level with what came since, less what was spent since. The
// next limit may be lower. What was told meanwhile is newer.
func (b *Bucket) restore(now time.Time, ago time.Duration, k Kept) {
	b.fill(now)
	if !b.untold {
		return
	}
	level := k.Left + b.rate*ago.Seconds() - k.Spending*min(ago, unkept).Seconds()
	b.level = max(b.level, min(level, b.burst))
}
