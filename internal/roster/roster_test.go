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

// After an outage of the registry that was longer than the lifetime of entries, its
// list is empty although all endpoints are alive. If they were dropped at once, all
// requests would be refused until the endpoints have registered again.
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

// Only this daemon was partitioned from the registry. After the connection is back,
// an endpoint's entry is removed. If the endpoint were kept until the end of the
// grace period, it would be sent requests for longer than is allowed after a leave.
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

// This daemon was partitioned from the registry from 1 s to 13 s. Its last failed
// call began at 12.9 s; the first successful one ended at 14.1 s and showed that an
// endpoint had left. Counted from the end of the outage, the grace period would end
// after 16 s, when the endpoint must get no more requests.
func TestGraceCountsFromTheLastFailedCall(t *testing.T) {
	r := New()
	r.Upsert(Endpoint{ID: "a"})
	r.OutageEnded(start.Add(12900 * time.Millisecond))
	r.Replace(start.Add(14100*time.Millisecond), nil)
	assert.Equal(t, count(r), 1)
	r.Tick(start.Add(15800 * time.Millisecond))
	assert.Equal(t, count(r), 0)
}

// After an outage, the removal of an entry is held back, since the entry may have
// expired because of the outage. A receiver of the snapshot must continue at a
// revision before that removal, or it would miss it.
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

// An endpoint restarts with the same ID, then a list from before the restart
// arrives late. Its entry must not replace the one of the restarted endpoint.
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

// An endpoint announces its leave, and later it is removed. Then the registry is
// restored from an older copy, which lists the endpoint as serving. It must get no
// requests, unless it has restarted with the same ID.
func TestAnnouncedLeaveIsFinal(t *testing.T) {
	r := New()
	startedAt := start
	for _, gone := range []bool{false, true} {
		r.Upsert(Endpoint{ID: "a", StartedAt: startedAt, Draining: true})
		if gone {
			r.Remove(start, "a")
		}
		r.Upsert(Endpoint{ID: "a", StartedAt: startedAt})
		all, _ := r.Snapshot()
		assert.Assert(t, len(all) == 0 || all[0].Draining, "gone %v: %+v", gone, all)
	}
	r.Upsert(Endpoint{ID: "a", StartedAt: startedAt.Add(time.Second)})
	all, _ := r.Snapshot()
	assert.Equal(t, len(all), 1)
	assert.Assert(t, !all[0].Draining)
}

// Guards against an endpoint that has said that it leaves and is brought back by a stale list, a
// restored store or the grace after an outage.
func TestStatedLeaveIsFinalForTheRun(t *testing.T) {
	for _, startedAt := range []time.Time{time.Unix(500, 0), {}} {
		r, now := New(), time.Unix(1000, 0)
		e := Endpoint{ID: "a", Service: "s", StartedAt: startedAt}
		r.Upsert(e)
		r.Leaves("a", startedAt)
		all, changed := r.Snapshot()
		assert.Assert(t, changed && all[0].Draining)
		r.Upsert(e)
		r.Replace(now, []Endpoint{e})
		all, _ = r.Snapshot()
		assert.Assert(t, all[0].Draining)
		r.OutageEnded(now)
		r.Replace(now, nil)
		all, _ = r.Snapshot()
		assert.Equal(t, len(all), 0)
		r.Upsert(Endpoint{ID: "a", Service: "s", StartedAt: startedAt.Add(time.Second)})
		all, _ = r.Snapshot()
		assert.Assert(t, len(all) == 1 && !all[0].Draining)
	}
}

// Guards against a leave that is stated before the endpoint is listed.
func TestStatedLeaveOfAnUnlistedEndpointIsKept(t *testing.T) {
	r, startedAt := New(), time.Unix(500, 0)
	r.Leaves("a", startedAt)
	r.Upsert(Endpoint{ID: "a", Service: "s", StartedAt: startedAt})
	all, _ := r.Snapshot()
	assert.Equal(t, len(all), 0)
}
