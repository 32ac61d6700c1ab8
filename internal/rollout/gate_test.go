package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var gateNow = time.Unix(1000, 0)

func TestOldWordSendsNothingToTheNewVersion(t *testing.T) {
	g := NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second})
	w := Word{Service: "s", Key: Key{Target: "v2"}, Phase: Moving, Share: 1}
	g.Hear(gateNow, News{Rank: Rank{1, 1}, Words: []Word{w}})
	heard, known := g.Word(gateNow.Add(2*time.Second), "s")
	assert.Assert(t, known)
	assert.Equal(t, heard.Side("r", 0.5), New)
	heard, _ = g.Word(gateNow.Add(2001*time.Millisecond), "s")
	assert.Equal(t, heard.Side("r", 0), Old)
}

// Guards against a decider that can't reach the store and tells that there is no order.
func TestNoOrderIsKnownOnlyFromTheStore(t *testing.T) {
	g := NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second})
	g.Hear(gateNow, News{Rank: Rank{1, 1}})
	appeared := gateNow.Add(time.Second)
	g.Hear(gateNow.Add(4*time.Second), News{Rank: Rank{1, 2}, OrdersAge: 3 * time.Second})
	assert.Assert(t, !g.NoOrder(gateNow.Add(4*time.Second), appeared))
	g.Hear(gateNow.Add(5*time.Second), News{Rank: Rank{1, 3}, OrdersAge: time.Second})
	assert.Assert(t, g.NoOrder(gateNow.Add(5*time.Second), appeared))
	assert.Assert(t, !g.NoOrder(gateNow.Add(8*time.Second), appeared)) // the decider is gone
}

func TestCompletedHoldsForGood(t *testing.T) {
	g := NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second})
	g.Hear(gateNow, News{Rank: Rank{1, 1}, Words: []Word{{Service: "s", Key: Key{Target: "v2"}, Phase: Completed, Share: 1}}})
	w, _ := g.Word(gateNow.Add(time.Hour), "s")
	assert.Equal(t, w.Side("r", 0.99), New)
}

// Guards against a hub that tells an earlier decider's word after a later one's.
func TestEarlierDecidersWordIsNotTaken(t *testing.T) {
	g := NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second})
	word := func(p Phase) []Word { return []Word{{Service: "s", Key: Key{Target: "v2"}, Phase: p, Share: 0.5}} }
	g.Hear(gateNow, News{Rank: Rank{2, 1}, Words: word(RolledBack)})
	g.Hear(gateNow, News{Rank: Rank{1, 9}, Words: word(Trial)})
	w, _ := g.Word(gateNow, "s")
	assert.Equal(t, w.Phase, RolledBack)
}

// Guards against a word that seems fresh since it was passed on lately.
func TestAgeOfAWordIsKeptOnItsWay(t *testing.T) {
	hub, leaf := NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second}), NewGate(Bounds{Share: 0.1, Stop: 5 * time.Second})
	hub.Hear(gateNow, News{Rank: Rank{1, 1}})
	leaf.Hear(gateNow.Add(1900*time.Millisecond), hub.News(gateNow.Add(1900*time.Millisecond)))
	assert.Assert(t, leaf.Fresh(gateNow.Add(2*time.Second)))
	assert.Assert(t, !leaf.Fresh(gateNow.Add(2100*time.Millisecond)))
}
