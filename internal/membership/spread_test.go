package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestNewerDigestReachesAllWithinSeconds(t *testing.T) {
	// One daemon applies a change of configuration. The others must receive its
	// digest on probes, fetch the change from the sender and spread the digest
	// in turn. No daemon may be referred to one that has nothing newer.
	g := newConvergedGroup(t, 40, 4, 2)
	for _, d := range g.daemons {
		d.SetDigest(Digest{Version: 7, Hash: 1})
	}
	g.run(10 * time.Second)
	g.clearActions()
	newest := Digest{Version: 8, Hash: 2, Payload: "wheat=8"}
	g.daemons[3].SetDigest(newest)
	took, ok := g.until(15*time.Second, func() bool {
		for _, d := range g.daemons {
			if count[NewerDigest](d) > 0 {
				d.SetDigest(newest)
			}
		}
		return g.everyone(func(d *daemon) bool { return d.self.digest == newest })
	})
	t.Logf("at all daemons after %v", took)
	assert.Assert(t, ok)
	assert.Equal(t, count[NewerDigest](g.daemons[3]), 0)
	for _, d := range g.daemons {
		assert.Assert(t, count[NewerDigest](d) <= 2)
		for _, a := range d.actions {
			if newer, ok := a.(NewerDigest); ok {
				assert.Equal(t, newer.Member.Digest, newest)
			}
		}
	}
}

func (g *group) clearActions() {
	for _, d := range g.daemons {
		d.actions = nil
	}
}

func TestDigestsWithEqualVersionsAndDifferentHashesLackEachOther(t *testing.T) {
	a, b := Digest{Version: 5, Hash: 1}, Digest{Version: 5, Hash: 2}
	assert.Assert(t, a.lacks(b) && b.lacks(a))
	assert.Assert(t, !a.lacks(a))
	assert.Assert(t, !a.lacks(Digest{Version: 4, Hash: 9}))
}

func TestMissingMemberIsFetchedByTableSync(t *testing.T) {
	// A daemon joins, and no update about it reaches another one. When the
	// update is no longer queued anywhere, that one still lacks the new daemon.
	// Its table hash differs from the others', and it must fetch only the
	// missing record, not the whole table.
	g := newConvergedGroup(t, 40, 4, 1)
	incomplete := g.daemons[9]
	g.add(Config{}, memberAt(90, 0, "dc-00", "region-0"))
	for range 30 * time.Second / tick {
		g.step()
		incomplete.forget("i-0000000000000005a")
		incomplete.waiting = nil
	}
	for _, d := range g.daemons {
		d.updates.queue = nil
	}
	assert.Assert(t, !g.converged())
	fetched := 0
	for range 15 * time.Second / tick {
		g.step()
		for _, f := range g.inFlight {
			if f.p.Kind == SyncPage && f.to == incomplete.address {
				fetched += len(f.p.Updates)
			}
		}
	}
	assert.Assert(t, g.converged())
	assert.Assert(t, fetched < 10, "fetched %d records for one missing", fetched)
}

func TestTrafficIsBoundedWhenAllDaemonsStartAtOnce(t *testing.T) {
	// All daemons start at once, and each gets the others by fetching tables. If
	// each also gossiped all that it fetched, the traffic would grow with the
	// square of the number of daemons.
	g := newGroup(1)
	g.start(170, 11, 3)
	for _, d := range g.daemons {
		d.AddSeeds(g.now, g.list())
	}
	g.assertConverged(t, time.Minute)
	g.run(time.Minute - g.now.Sub(time.Unix(1_700_000_000, 0)))
	total := 0
	for _, d := range g.daemons {
		total += d.sentSize
	}
	// A table of 170 members has 23 kB and is fetched about three times. The
	// rest are probes and updates about direct contacts. If fetched members are
	// gossiped too, it is 141 kB.
	assert.Assert(t, total/170 < 120_000, "%d bytes a daemon", total/170)
}

// forget removes a member from the table, as if it had never been added.
func (d *daemon) forget(id string) {
	for i, n := range d.sorted {
		if string(n.instance) == id {
			n.state = Dead
			d.rehash(n)
			delete(d.nodes, n.instance)
			d.sorted = append(d.sorted[:i], d.sorted[i+1:]...)
			d.dirty = true
			return
		}
	}
}
