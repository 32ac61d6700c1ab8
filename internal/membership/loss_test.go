package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// partition loses all packets between the data centre and the others.
func (g *group) partition(dc fleet.DataCentre) {
	g.drop = func(from, to *daemon) bool {
		return (from.self.dc.name == dc) != (to.self.dc.name == dc)
	}
}

func (g *group) daemonsIn(dc fleet.DataCentre) []*daemon {
	var list []*daemon
	for _, d := range g.daemons {
		if d.self.dc.name == dc {
			list = append(list, d)
		}
	}
	return list
}

func TestDataCentreLossIsReportedOnceAndNotPerDaemon(t *testing.T) {
	// All machines of a data centre are gone at once. Everyone else must learn
	// it as one event, before the daemons' own suspicions run out. From then on
	// nothing more is said of the single daemons.
	g := newConvergedGroup(t, 40, 4, 1)
	for _, d := range g.daemonsIn("dc-01") {
		d.up = false
	}
	_, ok := g.until(10*time.Second, g.converged)
	assert.Assert(t, ok)
	g.step()
	for range 60 * time.Second / tick {
		g.step()
		for _, f := range g.inFlight {
			for _, u := range f.p.Updates {
				assert.Assert(t, g.isUp(u.Instance) || isReconnect(f), "packet of kind %d", f.p.Kind)
			}
		}
	}
	for _, d := range g.daemons {
		if d.up {
			assert.Equal(t, count[DataCentreLost](d), 1)
		}
	}
}

func (g *group) isUp(id fleet.InstanceID) bool {
	for _, d := range g.daemons {
		if d.self.instance == id {
			return d.up
		}
	}
	return false
}

// isReconnect reports whether the packet tells a dead daemon that it is dead.
func isReconnect(f sentPacket) bool { return f.p.Kind == Ping && len(f.p.Updates) == 1 }

func TestPartitionedDataCentreRecoversAsAWhole(t *testing.T) {
	// The links of a data centre fail for a minute; its daemons live.
	// Both sides hold the other for lost. When the links are back, one
	// statement brings each data centre back, and no daemon has to refute
	// for itself once its side was found.
	g := newConvergedGroup(t, 40, 4, 1)
	g.partition("dc-01")
	g.run(time.Minute)
	for _, d := range g.daemons {
		cutOff := d.self.dc.name == "dc-01"
		if cutOff {
			assert.Equal(t, len(d.View().Alive()), 10)
			continue
		}
		assert.Equal(t, len(d.View().Alive()), 30)
	}
	g.drop = nil
	g.assertConverged(t, 20*time.Second)
	assert.Assert(t, g.incarnationRaises() < 40, "%d refutations", g.incarnationRaises())
	for _, d := range g.daemonsIn("dc-01") {
		assert.Assert(t, count[DeclaredDead](d) >= 1)
	}
}

func TestDataCentreBackFromALongPartitionCausesNoLoss(t *testing.T) {
	// As above for ten minutes. The side that was cut off holds all other data
	// centres for lost. When it comes back, none of the others may believe its
	// claims, for their daemons answer.
	g := newConvergedGroup(t, 40, 4, 1)
	g.partition("dc-01")
	g.run(10 * time.Minute)
	g.drop = nil
	for _, d := range g.daemons {
		d.actions = nil
	}
	for range 30 * time.Second / tick {
		g.step()
		for _, d := range g.daemons {
			if d.self.dc.name != "dc-01" {
				assert.Assert(t, len(d.View().Alive()) >= 30)
				assert.Equal(t, count[DataCentreLost](d), 0)
			}
		}
	}
	g.assertConverged(t, 30*time.Second)
}

func TestDaemonsAreAliveAtOnceAfterAShortPartition(t *testing.T) {
	// The links of a data centre fail for twenty seconds. Its daemons were
	// suspected before its loss was seen, one or two had time to be held for
	// dead. When it is found again all others count as alive at once, not each
	// when it has refuted its own death.
	g := newConvergedGroup(t, 40, 4, 1)
	g.partition("dc-01")
	g.run(20 * time.Second)
	g.drop = nil
	seen := 0
	for range 10 * time.Second / tick {
		g.step()
		for _, d := range g.daemons {
			if d.self.dc.name != "dc-01" && count[DataCentreRecovered](d) == 1 {
				seen++
				assert.Assert(t, len(d.View().Alive()) >= 38)
			}
		}
	}
	assert.Assert(t, seen > 0)
}

func TestFailureOfPartOfADataCentreIsNotItsLoss(t *testing.T) {
	// A switch takes half of a data centre's daemons away. The others answer,
	// so nobody may hold the data centre for lost, not even for a moment; the
	// dead are found one by one.
	g := newConvergedGroup(t, 40, 4, 1)
	dead := g.daemonsIn("dc-01")[:6]
	for _, d := range dead {
		d.up = false
	}
	g.assertConverged(t, time.Minute)
	g.run(30 * time.Second)
	assert.Assert(t, g.converged())
	for _, d := range g.daemons {
		assert.Equal(t, count[DataCentreLost](d), 0)
	}
}

func TestReportedLossIsVerifiedBeforeItIsAccepted(t *testing.T) {
	// A daemon claims that a data centre is lost, and the data centre's own
	// daemons do not hear of it, so that none refutes. Whoever hears the claim
	// probes the data centre, gets answers, and believes nothing.
	g := newConvergedGroup(t, 16, 4, 1)
	claim := DataCentreUpdate{DataCentre: "dc-01", Region: "region-0", Version: 1}
	g.drop = func(_, to *daemon) bool {
		if to.self.dc.name == "dc-01" {
			to.dataCentre("dc-01", "region-0").version = 0
		}
		return false
	}
	receiver := g.daemons[0]
	for range 20 {
		receiver.mergeDataCentre(claim)
		g.run(time.Second)
		assert.Assert(t, !receiver.dataCentre("dc-01", "region-0").lost())
	}
}

func TestNewDaemonInALostDataCentreDoesNotRestoreItsDead(t *testing.T) {
	// A data centre is lost with all its daemons. Minutes later a replacement
	// starts there. The data centre is found again, its dead stay dead.
	g := newConvergedGroup(t, 40, 4, 1)
	for _, d := range g.daemonsIn("dc-01") {
		d.up = false
	}
	g.run(2 * time.Minute)
	g.add(Config{}, memberAt(100, 0, "dc-01", "region-0"))
	for range 30 * time.Second / tick {
		g.step()
		assert.Assert(t, g.everyone(func(d *daemon) bool { return len(d.View().Alive()) <= 31 }))
	}
	assert.Assert(t, g.converged())
}

func TestMinorityBackFromAPartitionDeclaresNobodyDead(t *testing.T) {
	// Three of twelve data centres, with one daemon each, are cut off together.
	// They hold each of the others for dead. When they come back their word
	// must not take one of the others out of a single View.
	g := newConvergedGroup(t, 12, 12, 1)
	g.drop = func(from, to *daemon) bool { return (from.index < 3) != (to.index < 3) }
	g.run(5 * time.Minute)
	assert.Equal(t, len(g.daemons[0].View().Alive()), 3)
	g.drop = nil
	for range 30 * time.Second / tick {
		g.step()
		for _, d := range g.daemons[3:] {
			assert.Assert(t, len(d.View().Alive()) >= 9)
		}
	}
	assert.Assert(t, g.converged())
}
