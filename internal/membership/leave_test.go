package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLeavingDaemonStopsServingWithinSecondsForGood(t *testing.T) {
	// A daemon announces that it leaves, keeps running for ten seconds and is
	// gone. From a few seconds on no view may show it as serving, not even when
	// it is suspected and refutes in between.
	g := newConvergedGroup(t, 40, 4, 2)
	leaver := g.daemons[7]
	g.carryOut(leaver, leaver.Leave(g.now))
	notServing := func(d *daemon) bool { return !serves(d.View(), leaver) }
	_, ok := g.until(4*time.Second, func() bool { return g.everyone(notServing) })
	assert.Assert(t, ok)
	suspicion := Update{Instance: leaver.self.instance, Run: leaver.self.run, State: leaver.self.state.suspected(), Incarnation: leaver.self.incarnation}
	g.daemons[8].merge(&suspicion, true)
	for range 10 * time.Second / tick {
		g.step()
		assert.Assert(t, g.everyone(notServing))
	}
	assert.Equal(t, leaver.View().Self().State, Leaving)
	g.carryOut(leaver, leaver.Depart(g.now))
	g.step()
	leaver.up = false
	_, ok = g.until(4*time.Second, g.converged)
	assert.Assert(t, ok)
	assert.Assert(t, g.everyone(func(d *daemon) bool { return d.stateOf(leaver) == Left }))
}

func serves(v *View, x *daemon) bool {
	for _, m := range v.Serving() {
		if m.Instance == x.self.instance {
			return true
		}
	}
	return false
}

func TestStaleInstanceListDoesNotRestoreGoneDaemons(t *testing.T) {
	// The instance list is outdated and still has a daemon that left and one
	// that crashed. Both must stay gone, also when a delayed packet of theirs
	// arrives.
	g := newConvergedGroup(t, 9, 4, 1)
	left, dead := g.daemons[1], g.daemons[2]
	old := []*Packet{left.newPacket(Ping), dead.newPacket(Ping)}
	g.carryOut(left, left.Depart(g.now))
	left.up, dead.up = false, false
	g.run(20 * time.Second)
	list := []Member{left.View().Self(), dead.View().Self()}
	for range 60 {
		for _, d := range g.daemons[3:] {
			d.AddSeeds(g.now, list)
			for _, p := range old {
				d.Receive(g.now, p)
			}
		}
		g.run(time.Second)
		assert.Assert(t, g.converged())
	}
}

func TestGoneDaemonIsRemovedAfterRetention(t *testing.T) {
	g := newConvergedGroup(t, 9, 4, 1)
	g.daemons[1].up = false
	g.run(time.Minute)
	watcher := g.daemons[0]
	watcher.cfg.Retention = 2 * time.Minute
	_, found := watcher.View().ByInstance(g.daemons[1].self.instance)
	assert.Assert(t, found)
	g.run(4 * time.Minute)
	_, found = watcher.View().ByInstance(g.daemons[1].self.instance)
	assert.Assert(t, !found)
}
