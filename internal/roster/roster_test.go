package roster

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func count(r *Roster) int {
	all, _ := r.Snapshot()
	return len(all)
}

func TestRemovedAtOnceWithoutAnOutage(t *testing.T) {
	r := New()
	r.Upsert(Endpoint{ID: "a"})
	r.Remove(start, "a")
	assert.Equal(t, count(r), 0)
}

// The registry was down for longer than entries last. When it answers again
// its list is empty though every endpoint lives. Dropped at once, all requests
// would be refused until the endpoints have registered again.
func TestExpiredInAnOutageIsKeptDuringTheGrace(t *testing.T) {
	r := New()
	r.Upsert(Endpoint{ID: "lives"})
	r.Upsert(Endpoint{ID: "died"})
	r.Upsert(Endpoint{ID: "leaving", Draining: true})
	r.OutageEnded(start)
	r.Replace(start, nil)
	assert.Equal(t, count(r), 2)
	r.Upsert(Endpoint{ID: "lives"})
	r.Tick(start.Add(OutageGrace))
	all, _ := r.Snapshot()
	assert.Equal(t, len(all), 1)
	assert.Equal(t, string(all[0].ID), "lives")
}

func TestSnapshotReportsChanges(t *testing.T) {
	r := New()
	r.Upsert(Endpoint{ID: "a"})
	_, changed := r.Snapshot()
	assert.Assert(t, changed)
	_, changed = r.Snapshot()
	assert.Assert(t, !changed)
}

// This daemon alone was cut off from the registry, which was up all the while.
// Seconds after its return an endpoint's entry is removed. Kept until the
// grace is over, it would be sent requests for longer than a leaving endpoint
// may be.
func TestRemovalAfterTheOutageIsHeldShorterThanTheGrace(t *testing.T) {
	r := New()
	r.Upsert(Endpoint{ID: "a"})
	r.OutageEnded(start)
	r.CaughtUp()
	removed := start.Add(300 * time.Millisecond)
	r.Remove(removed, "a")
	assert.Equal(t, count(r), 1)
	r.Tick(removed.Add(RemovalHold))
	assert.Equal(t, count(r), 0)
}

// This daemon was cut off from 1 s to 13 s. Its last failed call began at
// 12.9 s, the first that worked ended at 14.1 s and showed that an endpoint had
// left at 14.0 s. Counted from the return, the grace would end after 16 s, when
// the daemon is bound again.
func TestGraceCountsFromTheLastFailedCall(t *testing.T) {
	r := New()
	r.Upsert(Endpoint{ID: "a"})
	r.OutageEnded(start.Add(12900 * time.Millisecond))
	r.Replace(start.Add(14100*time.Millisecond), nil)
	assert.Equal(t, count(r), 1)
	r.Tick(start.Add(15800 * time.Millisecond))
	assert.Equal(t, count(r), 0)
}

// The registry returns from an outage, and an entry's end is held back since the
// endpoint may have lapsed with the registry. Who goes on from this roster must
// start before that end, or would never hear of it.
func TestCompleteRevisionWaitsForHeldRemovals(t *testing.T) {
	r := New()
	r.Upsert(Endpoint{ID: "a"})
	r.Applied(7)
	assert.Equal(t, r.CompleteRevision(), uint64(7))
	r.OutageEnded(start)
	r.CaughtUp()
	r.Remove(start, "a")
	r.Applied(9)
	assert.Equal(t, r.CompleteRevision(), uint64(7))
	r.Tick(start.Add(RemovalHold - time.Millisecond))
	assert.Equal(t, r.CompleteRevision(), uint64(7))
	r.Tick(start.Add(RemovalHold))
	assert.Equal(t, r.CompleteRevision(), uint64(9))
	assert.Equal(t, count(r), 0)
}

// An endpoint starts again under its ID. A list that is older than that comes
// late: with its earlier start, what is known of the new one would be thrown
// away for what is gone.
func TestEarlierStartNeverReplacesALaterOne(t *testing.T) {
	r := New()
	r.Upsert(Endpoint{ID: "a", Address: "old", StartedAt: start})
	r.Upsert(Endpoint{ID: "a", Address: "new", StartedAt: start.Add(time.Minute)})
	r.Upsert(Endpoint{ID: "a", Address: "old", StartedAt: start})
	r.Replace(start, []Endpoint{{ID: "a", Address: "old", StartedAt: start, Draining: true}})
	all, _ := r.Snapshot()
	assert.Equal(t, all[0].Address, "new")
	assert.Assert(t, !all[0].Draining)
}

// An endpoint says that it leaves, and later it is gone. The registry comes back
// from a copy some seconds old, in which it is there and doesn't leave. It must
// get no requests; one that has started again under its name must.
func TestAnnouncedLeaveIsFinal(t *testing.T) {
	r := New()
	born := start
	for _, gone := range []bool{false, true} {
		r.Upsert(Endpoint{ID: "a", StartedAt: born, Draining: true})
		if gone {
			r.Remove(start, "a")
		}
		r.Upsert(Endpoint{ID: "a", StartedAt: born})
		all, _ := r.Snapshot()
		assert.Assert(t, len(all) == 0 || all[0].Draining, "gone %v: %+v", gone, all)
	}
	r.Upsert(Endpoint{ID: "a", StartedAt: born.Add(time.Second)})
	all, _ := r.Snapshot()
	assert.Equal(t, len(all), 1)
	assert.Assert(t, !all[0].Draining)
}
