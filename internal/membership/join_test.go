package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAllDaemonsOfAllRegionsFindEachOther(t *testing.T) {
	for _, n := range []int{2, 9, 34} {
		g := newGroup(uint64(n))
		g.start(n, 11, 3)
		took, ok := g.until(2*time.Minute, g.converged)
		assert.Assert(t, ok, "%d daemons have not converged", n)
		t.Logf("%d daemons: %v, %d packets", n, took, g.packets)
		g.run(time.Minute)
		assert.Assert(t, g.converged())
	}
}

func TestNewDaemonIsInAllViewsWithinSeconds(t *testing.T) {
	// A daemon joins a running fleet. The others must receive it by gossip: by
	// comparing tables alone it would take several times as long.
	g := newConvergedGroup(t, 80, 4, 2)
	g.add(Config{}, memberAt(100, 0, "dc-00", "region-0"))
	took, ok := g.until(6*time.Second, g.converged)
	t.Log(took)
	assert.Assert(t, ok)
}

// A daemon that starts with two seeds must probe both at once. If it probed the
// same one twice, the other would be missing from its table for seconds.
func TestFirstProbesGoToDifferentSeeds(t *testing.T) {
	for seed := range uint64(64) {
		now := time.Unix(1000, 0)
		m := New(Config{}, Member{Instance: "a", Daemon: "a", Peer: "a:1"}, rand.New(rand.NewPCG(seed, 1)))
		m.AddSeeds(now, []Member{{Peer: "b:1"}, {Peer: "c:1"}})
		asked := map[string]int{}
		for _, a := range m.Tick(now) {
			if send, ok := a.(Send); ok {
				asked[send.To]++
			}
		}
		assert.DeepEqual(t, asked, map[string]int{"b:1": 1, "c:1": 1})
	}
}
