package quota

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Checkpoint is the state of a workspace's limit that is stored for a restart of the
// whole fleet.
type Checkpoint struct {
	Left      float64 `json:"left"`     // what could be spent, in the workspace's unit
	SpendRate float64 `json:"spending"` // of all daemons, per second
}

const (
	// checkpointLag is the longest time before a kill of the whole fleet whose spending is
	// in no checkpoint: checkpoints are written each second, from reports that are some
	// tenths of a second old.
	checkpointLag = 1400 * time.Millisecond
	// maxCheckpointAge covers a kill, a restart and the time since the last write. An
	// older checkpoint says nothing about the spending since.
	maxCheckpointAge = 3 * time.Second
	// restoredExcessShare is the part of the tolerated excess up to which a checkpointed
	// level is restored. The rest covers what daemons admit before they receive each
	// other's reports.
	restoredExcessShare = 0.25
	// enforcedSpendShare is the part of a limit above which the spending rate in a
	// checkpoint means that the limit was being enforced.
	enforcedSpendShare = 0.75
	// maxCheckpointDrift is the part of the burst and the tolerated excess that may be
	// spent before a new checkpoint is needed.
	maxCheckpointDrift = 0.05
)

// Checkpoints returns the current checkpoints, by workspace.
func (q *Quota) Checkpoints(now time.Time) map[fleet.WorkspaceID]Checkpoint {
	out := make(map[fleet.WorkspaceID]Checkpoint, len(q.buckets))
	for name, b := range q.buckets {
		out[name] = b.checkpoint(now)
	}
	return out
}

// CheckpointOutdated reports whether some limit has much less left than the
// checkpoints written some time ago predict, so that new ones must be written:
// otherwise a fleet that is killed before would admit the limit once more.
func (q *Quota) CheckpointOutdated(now time.Time, ago time.Duration, checkpoints map[fleet.WorkspaceID]Checkpoint) bool {
	for name, b := range q.buckets {
		if b.rate <= 0 {
			continue
		}
		drift := checkpoints[name].leftAfter(b.rate, b.burst, ago) - b.checkpoint(now).Left
		if drift > maxCheckpointDrift*(b.burst+q.tolerance.of(b.rate, b.burst)) {
			return true
		}
	}
	return false
}

// leftAfter returns what the limit has left some time after the checkpoint.
func (c Checkpoint) leftAfter(rate, burst float64, later time.Duration) float64 {
	return min(c.Left+rate*later.Seconds()-c.SpendRate*min(later, checkpointLag).Seconds(), burst)
}

// Restore applies checkpoints that were written some time ago, unless this daemon has
// had an update already. With them a fleet that restarts serves callers below their
// limits from the first moment.
func (q *Quota) Restore(now time.Time, ago time.Duration, checkpoints map[fleet.WorkspaceID]Checkpoint) {
	if q.startFull || ago < 0 || ago > maxCheckpointAge {
		return
	}
	q.checkpoints, q.checkpointAt = checkpoints, now.Add(-ago)
	for name, b := range q.buckets {
		q.restore(now, name, b)
	}
}

// restore applies a bucket's checkpoint, if there is one. Buckets that Configure
// creates later are restored then.
func (q *Quota) restore(now time.Time, name fleet.WorkspaceID, b *Bucket) {
	if c, ok := q.checkpoints[name]; ok {
		b.restore(now, now.Sub(q.checkpointAt), c, restoredExcessShare*q.tolerance.of(b.rate, b.burst))
	}
}

func (b *Bucket) checkpoint(now time.Time) Checkpoint {
	b.fill(now)
	return Checkpoint{Left: b.level - b.predictedOthers, SpendRate: b.ownRate + b.othersRate}
}

// restore sets the level to the checkpointed one with the refill and the estimated
// spending since, bounded by what may be spent without a checkpoint (most): the limit
// may be lower by now. An update from a hub is newer, and leaves nothing to restore.
func (b *Bucket) restore(now time.Time, ago time.Duration, c Checkpoint, maxLevel float64) {
	b.fill(now)
	if !b.noReportYet {
		return
	}
	b.restartDebt = newRestartDebt(now, b.unlimitedShare(c))
	// The restart debt replaces the checkpointed spending rate for the time that it
	// covers.
	replaced := b.restartDebt.share * c.SpendRate * min(ago, unreportedTime).Seconds()
	b.level = min(c.leftAfter(b.rate, b.burst, ago)+replaced, maxLevel-b.grace)
	if b.level > 0 {
		b.ownLevel = b.depth()
	}
	b.othersRate, b.restored = min(c.SpendRate, b.rate), true
	if c.Left < b.reserve() || c.SpendRate > enforcedSpendShare*b.rate {
		b.refusedAt = now
	}
}

// unlimitedShare returns how much of its demand the fleet may have admitted after a
// checkpoint: all of it if the level was above the reserve, from which on requests are
// not rationed.
func (b *Bucket) unlimitedShare(c Checkpoint) float64 {
	reserve := b.reserve()
	if reserve <= 0 { // a single daemon, which knows all of the spending
		return 0
	}
	return c.Left / reserve
}
