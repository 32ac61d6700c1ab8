package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// partition drops all packets between the data centre and the others.
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
	// All machines of a data centre crash at once. All the others must detect it
	// as one event, before the suspicion timeouts of the single daemons. After
	// that no updates about the single daemons may be sent.
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

// isReconnect reports whether the packet may be a probe of a Dead daemon, which
// carries that daemon's state.
func isReconnect(f sentPacket) bool { return f.p.Kind == Ping && len(f.p.Updates) == 1 }

func TestPartitionedDataCentreRecoversAsAWhole(t *testing.T) {
	// The links of a data centre fail for a minute, while its daemons are up.
	// Each side declares the other lost. When the links are back, one update
	// restores each data centre, and after that none of its daemons has to
	// refute for itself.
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
	// As above for ten minutes. The partitioned data centre declares all others
	// lost. When it reconnects, none of the others may accept that, since their
	// daemons answer.
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
	// suspected before the loss was detected, and one or two may have been
	// declared Dead. When the data centre recovers, all the others must count as
	// alive at once, not each after it has refuted its own death.
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
	// A switch failure takes down six of a data centre's ten daemons. The others
	// answer, so the data centre must not be declared lost, not even for a
	// moment; the six are declared Dead one by one.
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
	// A daemon reports that a data centre is lost, and the data centre's own
	// daemons do not receive the update, so that none refutes it. A receiver
	// must probe the data centre, get answers and reject the loss.
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
	// A data centre is lost with all its daemons. Minutes later a new daemon
	// starts there. The data centre recovers, but its Dead members must stay Dead.
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
	// Three of twelve data centres, with one daemon each, are partitioned from
	// the rest together. They declare each of the others Dead. When they
	// reconnect, their updates must not make any View of the others show one of
	// the others as gone.
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
