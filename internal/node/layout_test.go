package node

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// fleetView returns the serving daemons of a fleet in six data centres, each of which
// has some strong machines.
func fleetView(daemons, strong int) []membership.Member {
	out := make([]membership.Member, daemons)
	for i := range out {
		l := LimitSettings{Cores: 0.192, LinkMbps: 20}
		if i < 6*strong {
			l = LimitSettings{Cores: 1.6, LinkMbps: 1000}
		}
		out[i] = membership.Member{
			Instance: fleet.InstanceID(fmt.Sprint(i)), Daemon: newID(l), Peer: fmt.Sprint("peer-", i),
			DataCentre: fleet.DataCentre(fmt.Sprint("dc-", i%6)),
		}
	}
	return out
}

// Guards against a number of reports to a hub, or of hubs of a daemon, that grows with
// the fleet.
func TestNoHubServesMoreThanAGroup(t *testing.T) {
	for _, daemons := range []int{6, 80, 266, 340, 986, 1972} {
		all := fleetView(daemons, 10)
		served := map[fleet.DaemonID]int{}
		every := 1
		if daemons > exchange.GroupSize {
			every = 7 // coprime to the six data centres
		}
		for i := 0; i < daemons; i += every {
			l := newLayout(&all[i], all, false)
			assert.Equal(t, l.meshed, daemons > exchange.GroupSize)
			assert.Assert(t, len(l.own) <= exchange.HubCount)
			for _, h := range l.own {
				served[h.Daemon] += every
				assert.Assert(t, l.isHub(h.Daemon))
				assert.Assert(t, !l.meshed || h.DataCentre == all[i].DataCentre)
			}
			for _, w := range l.watchers {
				assert.Assert(t, l.isHub(w.Daemon), "a watcher is a hub")
			}
		}
		for id, n := range served {
			assert.Assert(t, n <= exchange.GroupSize*3/2, "%d daemons: %d at %s", daemons, n, id)
			assert.Assert(t, daemons < 60 || strengthOf(id) == 9)
		}
	}
}

// A data centre has lost its strong machines: weak ones of the same data centre must
// be the hubs.
func TestWeakMachinesServeWhereNoStrongOneIsLeft(t *testing.T) {
	all := fleetView(986, 10)
	left := make([]membership.Member, 0, len(all))
	for _, m := range all {
		if m.DataCentre != "dc-0" || strengthOf(m.Daemon) < 9 {
			left = append(left, m)
		}
	}
	for i := 0; i < len(left); i += 10 {
		l := newLayout(&left[i], left, false)
		assert.Assert(t, len(l.own) > 0 && l.own[0].DataCentre == left[i].DataCentre)
	}
}

// BenchmarkLayout measures a layout, which is computed once for each view.
func BenchmarkLayout(b *testing.B) {
	for _, daemons := range []int{340, 986, 1972} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			all := fleetView(daemons, 10)
			b.ReportAllocs()
			for b.Loop() {
				newLayout(&all[0], all, false)
			}
		})
	}
}

// Guards against leaving daemons that each take all that an endpoint grants the fleet.
func TestLeavingDaemonsGoOnSharingWhatEndpointsTake(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitReady()
	for i, n := range f.nodes {
		n.grace.Store(int64(20 * time.Second))
		f.cancel[i]()
	}
	f.until("no daemon counts as serving", func(n *Node) bool { return len(n.members.serving()) == 0 })
	for _, n := range f.nodes {
		assert.Equal(t, len(n.members.layout().running), 3)
	}
}
