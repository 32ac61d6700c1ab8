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

// newMember returns a daemon that follows one shard from the start.
func newMember(id fleet.DaemonID) *member {
	config := DefaultConfig
	config.StartSpread = 0
	random := rand.New(rand.NewPCG(7, 7))
	return &member{id: id, set: NewSet(config, id, Shards("duty", 1), random, start)}
}

// pair returns a store, a holder that won its lease at the start and ticks no
// more, and a daemon that saw that at once.
func pair() (*memStore, *member, *member) {
	m, holder, other := newMemStore(1), newMember("holder"), newMember("other")
	random := rand.New(rand.NewPCG(1, 1))
	m.step(start, holder, 0, random)
	m.step(start, holder, 0, random)
	m.step(start, other, 0, random)
	return m, holder, other
}

// firstWrite ticks a daemon until it wants a write, and returns when and what.
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

// A process is stopped for longer than its lease. It wakes up in the middle of
// its work, before any tick, and must not order.
func TestPausedHolderIsExpiredAtItsFirstCheck(t *testing.T) {
	_, holder, _ := pair()
	l := holder.set.Lease(0)
	_, ok := l.MayOrder(at(DefaultConfig.Duration - DefaultConfig.Margin - 1))
	assert.Assert(t, ok)
	_, ok = l.MayOrder(at(DefaultConfig.Duration - DefaultConfig.Margin))
	assert.Assert(t, !ok)
}

// A whole machine is frozen and thawed. Its monotonic clock stood still, its
// wall clock was set right: the lease is over all the same.
func TestFrozenMachineIsExpiredByTheWallClock(t *testing.T) {
	before := time.Now()
	after := before.Add(time.Minute)
	monotonic := (*[3]int64)(unsafe.Pointer(&after)) // time.Time is wall, ext, loc
	monotonic[1] -= time.Minute.Nanoseconds()
	assert.Equal(t, after.Sub(before), time.Duration(0))
	assert.Equal(t, elapsed(before, after), time.Minute)
}

// The holder is dead or paused. Another daemon may take the lease only after
// the holder's has run out on both clocks, and then has the higher number.
func TestTakeoverWaitsForTheOldLease(t *testing.T) {
	m, holder, other := pair()
	when, a := firstWrite(m, other, 0)
	assert.Assert(t, when >= DefaultConfig.Duration+DefaultConfig.Margin, "%s", when)
	m.answer(at(when), other, a, false)
	assert.Assert(t, other.set.Lease(0).Held(at(when)))
	assert.Assert(t, other.set.Lease(0).Fencing() > holder.set.Lease(0).Fencing())
}

// The holder sent an order at the very end of its lease and vanished. An
// endpoint that ignores fencing numbers may still run it while the new holder
// gives the first order of its own.
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

// The answer to the write that won a lease is lost. Reading back shows that it
// took effect; the daemon must not wait out its own lease, nor write again.
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

// Somebody deletes a lease's object. Its holder doesn't know and goes on, so a
// daemon that finds the object gone must wait as if it were there.
func TestDeletedObjectIsWaitedOut(t *testing.T) {
	m, _, other := pair()
	when, a := firstWrite(m, other, 0)
	m.objects[0] = Observation{}
	m.answer(at(when), other, a, false)
	again, a := firstWrite(m, other, when)
	assert.Assert(t, again-when >= DefaultConfig.Duration+DefaultConfig.Margin, "%s", again-when)
	assert.Equal(t, a.IfVersion, uint64(0))
}

// In quiet no daemon writes on a version that is long gone: such a write has
// no effect but counts against the platform's rate.
func TestSteadyFleetWritesOnlyRenewals(t *testing.T) {
	c := newCluster(9, 8, 1)
	c.untilHeld(t, 8)
	c.run(time.Minute)
	writes, version := c.store.writes, c.store.version
	c.run(30 * time.Minute)
	assert.Equal(t, uint64(c.store.writes-writes), c.store.version-version)
}

// After an outage, a daemon that seldom looks sees all leases lapsed at its
// first look. It must leave them to the candidates, or its one look makes a
// write for every shard; only if nobody takes one by its next look, it does.
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
