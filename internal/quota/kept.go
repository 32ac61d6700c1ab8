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
	// restoredShare is the part of the tolerated excess up to which what was kept is
	// relied on. The rest is for what daemons let in before they hear of each other.
	restoredShare = 0.25
	// forceSpending is the part of a limit from which on what was spent of it says that
	// it was in force.
	forceSpending = 0.75
	// fallenShare is the part of the burst and the tolerated excess that may be spent
	// without being kept.
	fallenShare = 0.05
)

// Keep returns what is to be kept, by workspace.
func (q *Quota) Keep(now time.Time) map[fleet.WorkspaceID]Kept {
	out := make(map[fleet.WorkspaceID]Kept, len(q.buckets))
	for name, b := range q.buckets {
		out[name] = b.keep(now)
	}
	return out
}

// Fallen reports whether some limit has much less left than follows from what was
// kept some time ago, so that it must be kept anew: a fleet that is killed before
// would let the limit in once more.
func (q *Quota) Fallen(now time.Time, ago time.Duration, kept map[fleet.WorkspaceID]Kept) bool {
	for name, b := range q.buckets {
		if b.rate <= 0 {
			continue
		}
		off := kept[name].left(b.rate, b.burst, ago) - b.keep(now).Left
		if off > fallenShare*(b.burst+q.excess.of(b.rate, b.burst)) {
			return true
		}
	}
	return false
}

// left returns what a limit has left some time later.
func (k Kept) left(rate, burst float64, later time.Duration) float64 {
	return min(k.Left+rate*later.Seconds()-k.Spending*min(later, unkept).Seconds(), burst)
}

// Restore takes what was kept some time ago, where nobody has told this daemon
// anything yet, so that a fleet that starts again serves callers below their limits
// from the first moment.
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
		b.restore(now, now.Sub(q.keptAt), k, restoredShare*q.excess.of(b.rate, b.burst))
	}
}

func (b *Bucket) keep(now time.Time) Kept {
	b.fill(now)
	return Kept{Left: b.level - b.predicted, Spending: b.ownRate + b.othersRate}
}

// restore takes the kept level with what came since, less what was spent since, and
// at most what may have been spent without being kept. The next limit may be lower.
// What was told meanwhile is newer.
func (b *Bucket) restore(now time.Time, ago time.Duration, k Kept, most float64) {
	b.fill(now)
	if !b.untold {
		return
	}
	b.presumed = presume(now, b.unlimited(k))
	// What is presumed takes the place of the kept spending in its time.
	replaced := b.presumed.share * k.Spending * min(ago, unreported).Seconds()
	b.level = min(k.left(b.rate, b.burst, ago)+replaced, most-b.grace)
	if b.level > 0 {
		b.own = b.depth()
	}
	b.othersRate, b.restored = min(k.Spending, b.rate), true
	if k.Left < b.reserve() || k.Spending > forceSpending*b.rate {
		b.refused = now
	}
}

// unlimited returns how much of its demand the fleet may have let in after a limit was
// kept: all of it where as much was left as is let in freely.
func (b *Bucket) unlimited(k Kept) float64 {
	reserve := b.reserve()
	if reserve <= 0 { // one daemon, which keeps what it knows
		return 0
	}
	return k.Left / reserve
}
