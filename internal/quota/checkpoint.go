package quota

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Checkpoint is what is kept of a workspace's limit for a fleet that is killed at once.
type Checkpoint struct {
	Left     float64 `json:"left"`     // that could be spent, in the workspace's unit
	SpendRate float64 `json:"spending"` // of all daemons, a second
}

const (
	// checkpointLag is the time for which a fleet's spending before it was killed is in
	// nothing that was kept: what is kept is written each second, from reports that
	// are some tenths of a second old.
	checkpointLag = 1400 * time.Millisecond
	// maxCheckpointAge is how old what was kept may be: a kill, a restart and the time
	// since it was written. Older, it says nothing of what was spent since.
	maxCheckpointAge = 3 * time.Second
	// restoredExcessShare is the part of the tolerated excess up to which what was kept is
	// relied on. The rest is for what daemons let in before they hear of each other.
	restoredExcessShare = 0.25
	// enforcedSpendShare is the part of a limit from which on what was spent of it says that
	// it was in force.
	enforcedSpendShare = 0.75
	// maxCheckpointDrift is the part of the burst and the tolerated excess that may be spent
	// without being kept.
	maxCheckpointDrift = 0.05
)

// Checkpoints returns what is to be kept, by workspace.
func (q *Quota) Checkpoints(now time.Time) map[fleet.WorkspaceID]Checkpoint {
	out := make(map[fleet.WorkspaceID]Checkpoint, len(q.buckets))
	for name, b := range q.buckets {
		out[name] = b.checkpoint(now)
	}
	return out
}

// CheckpointOutdated reports whether some limit has much less left than follows from what was
// kept some time ago, so that it must be kept anew: a fleet that is killed before
// would let the limit in once more.
func (q *Quota) CheckpointOutdated(now time.Time, ago time.Duration, kept map[fleet.WorkspaceID]Checkpoint) bool {
	for name, b := range q.buckets {
		if b.rate <= 0 {
			continue
		}
		off := kept[name].leftAfter(b.rate, b.burst, ago) - b.checkpoint(now).Left
		if off > maxCheckpointDrift*(b.burst+q.tolerance.of(b.rate, b.burst)) {
			return true
		}
	}
	return false
}

// leftAfter returns what a limit has leftAfter some time later.
func (k Checkpoint) leftAfter(rate, burst float64, later time.Duration) float64 {
	return min(k.Left+rate*later.Seconds()-k.SpendRate*min(later, checkpointLag).Seconds(), burst)
}

// Restore takes what was kept some time ago, where nobody has told this daemon
// anything yet, so that a fleet that starts again serves callers below their limits
// from the first moment.
func (q *Quota) Restore(now time.Time, ago time.Duration, kept map[fleet.WorkspaceID]Checkpoint) {
	if q.startFull || ago < 0 || ago > maxCheckpointAge {
		return
	}
	q.checkpoints, q.checkpointAt = kept, now.Add(-ago)
	for name, b := range q.buckets {
		q.restore(now, name, b)
	}
}

// restore gives a bucket what was kept of it. Limits are known later at times.
func (q *Quota) restore(now time.Time, name fleet.WorkspaceID, b *Bucket) {
	if k, ok := q.checkpoints[name]; ok {
		b.restore(now, now.Sub(q.checkpointAt), k, restoredExcessShare*q.tolerance.of(b.rate, b.burst))
	}
}

func (b *Bucket) checkpoint(now time.Time) Checkpoint {
	b.fill(now)
	return Checkpoint{Left: b.level - b.predictedOthers, SpendRate: b.ownRate + b.othersRate}
}

// restore takes the kept level with what came since, less what was spent since, and
// at most what may have been spent without being kept. The next limit may be lower.
// What was told meanwhile is newer.
func (b *Bucket) restore(now time.Time, ago time.Duration, k Checkpoint, most float64) {
	b.fill(now)
	if !b.noReportYet {
		return
	}
	b.restartDebt = newRestartDebt(now, b.unlimitedShare(k))
	// What is presumed takes the place of the kept spending in its time.
	replaced := b.restartDebt.share * k.SpendRate * min(ago, unreportedTime).Seconds()
	b.level = min(k.leftAfter(b.rate, b.burst, ago)+replaced, most-b.grace)
	if b.level > 0 {
		b.ownLevel = b.depth()
	}
	b.othersRate, b.restored = min(k.SpendRate, b.rate), true
	if k.Left < b.reserve() || k.SpendRate > enforcedSpendShare*b.rate {
		b.refusedAt = now
	}
}

// unlimitedShare returns how much of its demand the fleet may have let in after a limit was
// kept: all of it where as much was left as is let in freely.
func (b *Bucket) unlimitedShare(k Checkpoint) float64 {
	reserve := b.reserve()
	if reserve <= 0 { // one daemon, which keeps what it knows
		return 0
	}
	return k.Left / reserve
}
