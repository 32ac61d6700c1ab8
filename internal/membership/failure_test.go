package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newConvergedGroup returns a group in which all daemons see each other Alive and
// no updates are being spread.
func newConvergedGroup(t *testing.T, n, dcs, regions int) *group {
	t.Helper()
	g := newGroup(uint64(n))
	g.start(n, dcs, regions)
	_, ok := g.until(time.Minute, g.converged)
	assert.Assert(t, ok, "the daemons have not converged")
	g.run(10 * time.Second)
	for _, d := range g.daemons {
		d.actions = nil
	}
	return g
}

// incarnationRaises returns by how much the daemons raised their incarnations, in
// total.
func (g *group) incarnationRaises() uint64 {
	var sum uint64
	for _, d := range g.daemons {
		sum += d.self.incarnation - 1_700_000_000_000
	}
	return sum
}

func (g *group) assertConverged(t *testing.T, limit time.Duration) {
	t.Helper()
	took, ok := g.until(limit, g.converged)
	assert.Assert(t, ok, "the daemons have not converged after %v", took)
}

func TestCrashedDaemonIsDeclaredDeadByAllAndNoOtherIs(t *testing.T) {
	// A daemon's machine crashes. The others get no answers to their probes,
	// suspect it, and declare it Dead when it does not refute. No other daemon
	// may have to refute a suspicion.
	g := newConvergedGroup(t, 18, 4, 2)
	victim := g.daemons[5]
	victim.up = false
	_, ok := g.until(30*time.Second, g.converged)
	assert.Assert(t, ok)
	assert.Assert(t, g.everyone(func(d *daemon) bool { return d.stateOf(victim) == Dead }))
	assert.Equal(t, g.incarnationRaises(), uint64(0))
}

func TestOneWayPacketLossCausesNoSuspicion(t *testing.T) {
	// All packets from one daemon to another are lost, but not in the other
	// direction. Its direct probes of that daemon always fail; the indirect
	// ones succeed, so no daemon may be suspected.
	g := newConvergedGroup(t, 9, 4, 1)
	g.drop = func(from, to *daemon) bool { return from.index == 0 && to.index == 1 }
	for range 600 {
		g.step()
		for _, d := range g.daemons {
			assert.Equal(t, len(d.View().Alive()), 9)
			assert.Assert(t, d.stateOf(g.daemons[1]) == Alive)
		}
	}
}

func TestResumedDaemonRefutesItsDeathAndDeclaresNobodyDead(t *testing.T) {
	// A process is paused for a minute and declared Dead. When it resumes, all
	// its deadlines have passed and its socket is full of old packets. It must
	// not declare others Dead, must be notified that it was declared dead, and
	// must be Alive in all views within seconds.
	g := newConvergedGroup(t, 9, 4, 1)
	slow := g.daemons[3]
	slow.paused = true
	g.run(time.Minute)
	assert.Assert(t, g.everyone(func(d *daemon) bool { return d.stateOf(slow) == Dead }))
	g.resume(slow)
	for range 5 * time.Second / tick {
		g.step()
		assert.Equal(t, len(slow.View().Alive()), 9)
	}
	assert.Assert(t, g.converged())
	assert.Assert(t, count[DeclaredDead](slow) >= 1)
	assert.Assert(t, slow.self.incarnation > 1_700_000_000_000)
	assert.Equal(t, g.incarnationRaises(), slow.self.incarnation-1_700_000_000_000)
}

func TestResumedDaemonWithEmptySocketDeclaresNobodyDead(t *testing.T) {
	// As above, but the packets in the socket were dropped, so on its first tick
	// the daemon has received nothing that shows that others are up, and the
	// probe that was running when it was paused has timed out.
	g := newConvergedGroup(t, 9, 4, 1)
	slow := g.daemons[3]
	g.until(5*time.Second, func() bool { return slow.prober.target != nil })
	slow.paused = true
	g.run(time.Minute)
	slow.waiting = nil
	g.resume(slow)
	g.run(3 * time.Second)
	assert.Equal(t, len(slow.View().Alive()), 9)
	assert.Equal(t, g.incarnationRaises(), slow.self.incarnation-1_700_000_000_000)
}

func TestRestartReplacesTheOlderRunAtOnce(t *testing.T) {
	// A process crashes and is restarted on the same instance and address
	// before the crash is detected. All views must show the new run, and a
	// suspicion of the old one must not affect it.
	g := newConvergedGroup(t, 9, 4, 1)
	g.restart(2, 7)
	want := memberAt(2, 7, "", "").Daemon
	_, ok := g.until(5*time.Second, func() bool { return g.everyoneSeesRun(2, want) })
	assert.Assert(t, ok)
	g.run(30 * time.Second)
	assert.Assert(t, g.converged())
}

func TestRestartWithClockSetBackReplacesTheOlderRun(t *testing.T) {
	// As above, but the clock was set back, so the new run starts with a lower
	// incarnation than the older one had. It receives the older incarnation from
	// its peers and raises its own above it.
	g := newConvergedGroup(t, 9, 4, 1)
	g.daemons[2].up = false
	self := memberAt(2, 7, g.daemons[2].self.record.DataCentre, "region-0")
	self.Incarnation = 1
	g.restartAs(2, self)
	_, ok := g.until(10*time.Second, func() bool { return g.everyoneSeesRun(2, self.Daemon) })
	assert.Assert(t, ok)
	g.run(30 * time.Second)
	assert.Assert(t, g.converged())
}

func TestIsolatedDaemonReconnectsWithoutSpreadingSuspicion(t *testing.T) {
	// A daemon receives no packets for five minutes and declares the others
	// Dead. When it reconnects it must not send these states, or each of the
	// others would have to refute.
	g := newConvergedGroup(t, 18, 4, 1)
	isolated := g.daemons[4]
	g.drop = func(from, to *daemon) bool { return from == isolated || to == isolated }
	g.run(5 * time.Minute)
	assert.Equal(t, len(isolated.View().Alive()), 1)
	assert.Equal(t, count[DataCentreLost](isolated), 0)
	g.drop = nil
	for range 20 * time.Second / tick {
		g.step()
		assert.Assert(t, g.everyone(func(d *daemon) bool { return d == isolated || len(d.View().Alive()) >= 17 }))
	}
	assert.Assert(t, g.converged())
	assert.Equal(t, g.incarnationRaises(), isolated.self.incarnation-1_700_000_000_000)
}

func TestLastOfThreeDaemonsSuspectsBeforeItDeclaresDead(t *testing.T) {
	// Two of three daemons crash at once. The last one receives no packets and
	// cannot decide whether it is isolated itself, so it suspects the others for
	// a minute before it declares them Dead. When a new daemon joins, their views
	// must converge.
	g := newConvergedGroup(t, 3, 3, 1)
	g.daemons[1].up, g.daemons[2].up = false, false
	g.run(20 * time.Second)
	last := g.daemons[0]
	assert.Equal(t, last.stateOf(g.daemons[1]), Suspect)
	assert.Equal(t, last.stateOf(g.daemons[2]), Suspect)
	g.run(time.Minute)
	assert.Assert(t, g.converged())
	g.add(Config{}, memberAt(9, 0, "dc-00", "region-0"))
	g.assertConverged(t, time.Minute)
}
