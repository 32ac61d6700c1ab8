package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Three daemons record intents for the same few keys while the store loses
// answers, delays effects and is unavailable, and daemons crash. No key may be
// granted twice, and the history of all answers must be linearizable.
func TestPerKeyGrantsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(func() layout { return NewPerKey() })
		actions := h.actions()
		actions["settle"] = func(t *rapid.T) {
			g := h.drawGrant(t, false)
			if g == nil {
				return
			}
			p := h.writers[0].(*PerKey)
			if rapid.Bool().Draw(t, "ran") {
				h.perform(t, 0, p.Outcome(h.now, *g, Outcome{Status: 200}))
				return
			}
			h.abandon(g.Intent)
			h.perform(t, 0, p.Abandon(h.now, *g))
		}
		for range 4 {
			t.Repeat(actions)
		}
		h.finish(t)
	})
}

// The same for GroupCommit, where a batch whose condition failed is built anew on
// what the other daemon wrote, and segments are sealed every few records.
func TestGroupCommitGrantsOnce(t *testing.T) {
	policy := DefaultGroupPolicy()
	policy.SealBytes = 700
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(func() layout { return NewGroupCommit(0, policy) })
		actions := h.actions()
		actions["tick"] = func(t *rapid.T) {
			h.tick(t, time.Duration(rapid.IntRange(1, 600).Draw(t, "ms"))*time.Millisecond)
		}
		actions["settle"] = func(t *rapid.T) {
			g := h.drawGrant(t, true)
			if g == nil {
				return
			}
			writer := rapid.IntRange(0, 2).Draw(t, "writer")
			c := h.writers[writer].(*GroupCommit)
			if !h.intents[g.Intent.Owner].abandoned && rapid.Bool().Draw(t, "ran") {
				h.perform(t, writer, c.Outcome(h.now, g.Intent, Outcome{Status: 200}))
				return
			}
			h.abandon(g.Intent)
			h.perform(t, writer, c.Abandon(h.now, g.Intent))
		}
		for range 4 {
			t.Repeat(actions)
		}
		h.finish(t)
	})
}
