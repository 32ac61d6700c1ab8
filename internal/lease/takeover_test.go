package lease

import (
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 31, 18, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// newMember returns a daemon, alone in its fleet, for one shard.
func newMember(id fleet.DaemonID) *member {
	config := DefaultConfig
	config.StartSpread = 0
	random := rand.New(rand.NewPCG(7, 7))
	return &member{id: id, set: NewSet(config, id, Shards("duty", 1), random, start)}
}

// pair returns a store, a holder that acquired its lease at start and ticks no
// more, and another daemon that observed that at once.
func pair() (*memStore, *member, *member) {
	m, holder, other := newMemStore(1), newMember("holder"), newMember("other")
	random := rand.New(rand.NewPCG(1, 1))
	m.step(start, holder, 0, random)
	m.step(start, holder, 0, random)
	m.step(start, other, 0, random)
	return m, holder, other
}

// firstWrite ticks a daemon until a write is due, and returns its time and the
// write.
func firstWrite(m *memStore, d *member, from time.Duration) (time.Duration, Action) {
	for t := from; t < time.Hour; t += 100 * time.Millisecond {
		for _, a := range d.set.Tick(at(t)) {
			if a.Kind == Write {
				return t, a
			}
			d.set.Listed(at(t), m.objects)
			d.set.Observed(at(t), 0, m.objects[0])
		}
	}
	return time.Hour, Action{}
}

// A process is stopped for longer than its lease. It resumes in the middle of its
// work, before any tick, and must not send an order.
func TestPausedHolderIsExpiredAtItsFirstCheck(t *testing.T) {
	_, holder, _ := pair()
	l := holder.set.Lease(0)
	_, ok := l.MayOrder(at(DefaultConfig.Duration - DefaultConfig.Margin - 1))
	assert.Assert(t, ok)
	_, ok = l.MayOrder(at(DefaultConfig.Duration - DefaultConfig.Margin))
	assert.Assert(t, !ok)
}

// A whole machine is frozen and resumed. Its monotonic clock stood still and only
// its wall clock shows the pause, by which the lease must have expired.
func TestFrozenMachineIsExpiredByTheWallClock(t *testing.T) {
	before := time.Now()
	after := before.Add(time.Minute)
	monotonic := (*[3]int64)(unsafe.Pointer(&after)) // the fields of time.Time: wall, ext (monotonic), loc
	monotonic[1] -= time.Minute.Nanoseconds()
	assert.Equal(t, after.Sub(before), time.Duration(0))
	assert.Equal(t, elapsed(before, after), time.Minute)
}

// The holder has crashed or is paused. Another daemon may acquire the lease only
// after the holder's has expired by both clocks, and gets a higher fencing number.
func TestTakeoverWaitsForTheOldLease(t *testing.T) {
	m, holder, other := pair()
	when, a := firstWrite(m, other, 0)
	assert.Assert(t, when >= DefaultConfig.Duration+DefaultConfig.Margin, "%s", when)
	m.answer(at(when), other, a, false)
	assert.Assert(t, other.set.Lease(0).Held(at(when)))
	assert.Assert(t, other.set.Lease(0).Fencing() > holder.set.Lease(0).Fencing())
}

// The holder sent an order at the very end of its lease and crashed. An endpoint
// that ignores fencing numbers may still run it when the new holder could send
// its first order, which must therefore wait.
func TestUnfencedOrdersWaitForTheLastOneOfTheOldHolder(t *testing.T) {
	m, _, other := pair()
	when, a := firstWrite(m, other, 0)
	m.answer(at(when), other, a, false)
	l := other.set.Lease(0)
	_, ok := l.MayOrder(at(when))
	assert.Assert(t, ok)
	assert.Assert(t, !l.MayOrderUnfenced(at(when+DefaultConfig.OrderTimeout-1)))
	assert.Assert(t, l.MayOrderUnfenced(at(when+DefaultConfig.OrderTimeout)))
}

// The answer to the write that acquired a lease is lost. The read-back shows that
// it took effect, so the daemon must neither wait for its own lease to expire nor
// write again.
func TestLostAnswerIsReadBack(t *testing.T) {
	m, d := newMemStore(1), newMember("daemon")
	when, a := firstWrite(m, d, 0)
	m.answer(at(when), d, a, true)
	assert.Assert(t, !d.set.Lease(0).Held(at(when)))
	for t := when; t < when+DefaultConfig.RetryDelay*2; t += 100 * time.Millisecond {
		m.step(at(t), d, 0, rand.New(rand.NewPCG(1, 1)))
	}
	assert.Assert(t, d.set.Lease(0).Held(at(when+DefaultConfig.RetryDelay*2)))
	assert.Equal(t, m.writes, 1)
}

// A lease's object is deleted. Its holder goes on until the lease expires, so a
// daemon that finds the object missing must wait as if it still existed.
func TestDeletedObjectIsWaitedOut(t *testing.T) {
	m, _, other := pair()
	when, a := firstWrite(m, other, 0)
	m.objects[0] = Observation{}
	m.answer(at(when), other, a, false)
	again, a := firstWrite(m, other, when)
	assert.Assert(t, again-when >= DefaultConfig.Duration+DefaultConfig.Margin, "%s", again-when)
	assert.Equal(t, a.IfVersion, uint64(0))
}

// In normal operation no daemon may write on a version that was replaced long
// ago: such a write has no effect but counts against the platform's rate limit.
func TestSteadyFleetWritesOnlyRenewals(t *testing.T) {
	c := newCluster(9, 8, 1)
	c.untilHeld(t, 8)
	c.run(time.Minute)
	writes, version := c.store.writes, c.store.version
	c.run(30 * time.Minute)
	assert.Equal(t, uint64(c.store.writes-writes), c.store.version-version)
}

// After an outage, a daemon that reads rarely observes at its first list that all
// leases have expired. It must leave them to the candidates, or a single list
// causes a write for every shard. It acquires one only if no other daemon has by
// its next list.
func TestNonCandidateLeavesLapsedLeasesToCandidates(t *testing.T) {
	m, _, other := pair()
	other.set.ranks[0] = DefaultConfig.Candidates
	other.set.Tick(start)
	other.set.ListFailed()
	for _, poll := range []struct {
		after  time.Duration
		writes int
	}{{10 * time.Minute, 0}, {12 * time.Minute, 1}} {
		other.set.Listed(at(poll.after), m.objects)
		writes := 0
		for _, a := range other.set.Tick(at(poll.after)) {
			if a.Kind == Write {
				writes++
			}
		}
		assert.Equal(t, writes, poll.writes, "%s", poll.after)
	}
}
