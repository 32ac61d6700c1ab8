package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var gateNow = time.Unix(1000, 0)

func TestStaleSplitSendsNothingToTheNewVersion(t *testing.T) {
	g := NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second})
	s := Split{Service: "s", Key: Key{Target: "v2"}, Phase: Moving, Share: 1}
	g.Apply(gateNow, Update{Rank: Rank{1, 1}, Splits: []Split{s}})
	got, known := g.Split(gateNow.Add(2*time.Second), "s")
	assert.Assert(t, known)
	assert.Equal(t, got.Side("r", 0.5), New)
	got, _ = g.Split(gateNow.Add(2001*time.Millisecond), "s")
	assert.Equal(t, got.Side("r", 0), Old)
}

// Guards against a decider that can't reach the store and reports that there is no order.
func TestNoOrderRequiresAFreshReadOfTheStore(t *testing.T) {
	g := NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second})
	g.Apply(gateNow, Update{Rank: Rank{1, 1}})
	appeared := gateNow.Add(time.Second)
	g.Apply(gateNow.Add(4*time.Second), Update{Rank: Rank{1, 2}, OrdersAge: 3 * time.Second})
	assert.Assert(t, !g.NoOrder(gateNow.Add(4*time.Second), appeared))
	g.Apply(gateNow.Add(5*time.Second), Update{Rank: Rank{1, 3}, OrdersAge: time.Second})
	assert.Assert(t, g.NoOrder(gateNow.Add(5*time.Second), appeared))
	assert.Assert(t, !g.NoOrder(gateNow.Add(8*time.Second), appeared)) // the update is no longer fresh
}

func TestCompletedSplitDoesNotExpire(t *testing.T) {
	g := NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second})
	g.Apply(gateNow, Update{Rank: Rank{1, 1}, Splits: []Split{{Service: "s", Key: Key{Target: "v2"}, Phase: Completed, Share: 1}}})
	s, _ := g.Split(gateNow.Add(time.Hour), "s")
	assert.Equal(t, s.Side("r", 0.99), New)
}

// Guards against a hub that forwards an earlier decider's update after a later one's.
func TestUpdateOfAnEarlierDeciderIsIgnored(t *testing.T) {
	g := NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second})
	splits := func(p Phase) []Split { return []Split{{Service: "s", Key: Key{Target: "v2"}, Phase: p, Share: 0.5}} }
	g.Apply(gateNow, Update{Rank: Rank{2, 1}, Splits: splits(RolledBack)})
	g.Apply(gateNow, Update{Rank: Rank{1, 9}, Splits: splits(Trial)})
	s, _ := g.Split(gateNow, "s")
	assert.Equal(t, s.Phase, RolledBack)
}

// Guards against an old update that counts as fresh because it was forwarded lately.
func TestForwardedUpdateKeepsItsAge(t *testing.T) {
	hub, leaf := NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second}), NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second})
	hub.Apply(gateNow, Update{Rank: Rank{1, 1}})
	leaf.Apply(gateNow.Add(1900*time.Millisecond), hub.Update(gateNow.Add(1900*time.Millisecond)))
	assert.Assert(t, leaf.Fresh(gateNow.Add(2*time.Second)))
	assert.Assert(t, !leaf.Fresh(gateNow.Add(2100*time.Millisecond)))
}
