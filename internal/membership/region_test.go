package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

func TestPartitionOfRegionsForAnHourDeclaresNobodyDead(t *testing.T) {
	// The links between two regions fail for an hour, in which each region loses
	// a daemon and gets a new one. Neither may declare the other's daemons Dead,
	// both must show the other as unreachable, and afterwards each must receive
	// the other's changes.
	g := newConvergedGroup(t, 18, 6, 2)
	g.drop = func(from, to *daemon) bool { return from.self.record.Region != to.self.record.Region }
	g.daemons[2].up, g.daemons[3].up = false, false
	g.run(time.Minute)
	g.add(Config{}, memberAt(30, 0, "dc-00", "region-0"))
	g.add(Config{}, memberAt(31, 0, "dc-01", "region-1"))
	g.run(time.Hour)
	for _, d := range g.daemons {
		if !d.up {
			continue
		}
		assert.Assert(t, !d.View().RegionReachable(otherRegion(d)))
		assert.Assert(t, d.View().RegionReachable(d.self.record.Region))
		assert.Equal(t, len(d.View().Serving()), 9)
		assert.Equal(t, count[DataCentreLost](d), 0)
	}
	g.drop = nil
	g.assertConverged(t, time.Minute)
	reachable := func(d *daemon) bool { return d.View().RegionReachable(otherRegion(d)) }
	_, ok := g.until(20*time.Second, func() bool { return g.everyone(reachable) })
	assert.Assert(t, ok)
	assert.Equal(t, g.incarnationRaises(), uint64(0))
}

func TestMembersOfAnUnreachableRegionAreRemovedAfterRetention(t *testing.T) {
	g := newConvergedGroup(t, 6, 4, 2)
	for _, d := range g.daemons {
		d.cfg.Retention = 2 * time.Minute
		d.up = d.self.record.Region == "region-0"
	}
	g.run(time.Minute)
	assert.Assert(t, g.everyone(func(d *daemon) bool { return len(d.View().Alive()) == 6 }))
	g.run(3 * time.Minute)
	assert.Assert(t, g.converged())
}

func otherRegion(d *daemon) fleet.Region {
	if d.self.record.Region == "region-0" {
		return "region-1"
	}
	return "region-0"
}

func TestRegionsReconnectAfterAllBridgesWereReplaced(t *testing.T) {
	// While two regions cannot reach each other, each loses all the bridges that
	// the other has in its table. Bridges that only probed bridges would never
	// reconnect.
	g := newConvergedGroup(t, 24, 6, 2)
	g.drop = func(from, to *daemon) bool { return from.self.record.Region != to.self.record.Region }
	for _, d := range g.daemons {
		d.up = !d.regions.isBridge
	}
	g.run(5 * time.Minute)
	g.drop = nil
	g.assertConverged(t, time.Minute)
}

func TestSuspicionStaysInItsRegion(t *testing.T) {
	// Suspicions must not be accepted from or sent to other regions: only a
	// region's own daemons probe its members regularly.
	g := newConvergedGroup(t, 6, 2, 2)
	d, foreign, local := g.daemons[0], g.daemons[1], g.daemons[2]
	u := Update{Instance: foreign.self.instance, Run: foreign.self.run, State: Suspect, Incarnation: foreign.self.incarnation}
	d.merge(&u, true)
	assert.Equal(t, d.nodes[u.Instance].state, Alive)
	u = Update{Instance: local.self.instance, Run: local.self.run, State: Suspect, Incarnation: local.self.incarnation}
	hash := d.tableHash()
	d.merge(&u, true)
	assert.Equal(t, d.nodes[u.Instance].state, Suspect)
	assert.Equal(t, d.tableHash(), hash, "suspicion makes tables differ")
	p := d.newPacket(Ping)
	d.piggyback(p, d.nodes[foreign.self.instance])
	for _, u := range p.Updates {
		assert.Assert(t, !u.State.IsSuspect())
	}
}

func TestFailedBridgesAreReplaced(t *testing.T) {
	// All bridges of a region crash at once. The daemons with the next highest
	// scores must take over, so that the region is reachable again soon.
	g := newConvergedGroup(t, 40, 4, 2)
	for _, d := range g.daemons {
		if d.regions.isBridge && d.self.record.Region == "region-0" {
			d.up = false
		}
	}
	g.assertConverged(t, time.Minute)
	g.run(20 * time.Second)
	assert.Assert(t, g.everyone(func(d *daemon) bool { return d.View().RegionReachable(otherRegion(d)) }))
}

func TestOnlyBridgesProbeOtherRegions(t *testing.T) {
	// If every daemon probed all regions, the loss of a link between two regions
	// would make the daemons of each suspect all those of the other.
	g := newConvergedGroup(t, 60, 6, 3)
	probers := map[int]bool{}
	for range time.Minute / tick {
		g.step()
		for _, f := range g.inFlight {
			to := g.byAddr[f.to]
			if f.p.Kind == Ping && to.self.record.Region != f.from.self.record.Region {
				probers[f.from.index] = true
			}
		}
	}
	assert.Equal(t, len(probers), 3*defaultBridges)
}
