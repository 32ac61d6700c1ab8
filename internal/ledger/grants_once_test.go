package ledger

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Three daemons record intents for the same few keys while the store loses
// answers, delays effects, is unavailable, and daemons die. No key is granted
// twice, and porcupine finds an order of all answers in which each is true.
func TestPerKeyGrantsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func() layout { return NewPerKey() })
		actions := w.actions()
		actions["settle"] = func(t *rapid.T) {
			g := w.anyGrant(t, false)
			if g == nil {
				return
			}
			p := w.writers[0].(*PerKey)
			if rapid.Bool().Draw(t, "ran") {
				w.do(t, 0, p.Outcome(w.now, *g, Outcome{Status: 200}))
				return
			}
			w.drop(g.Intent)
			w.do(t, 0, p.Abandon(w.now, *g))
		}
		for range 4 {
			t.Repeat(actions)
		}
		w.finish(t)
	})
}

// The same for batches, where a batch that lost its condition is built anew
// from what the winner wrote, and segments are sealed every few records.
func TestGroupCommitGrantsOnce(t *testing.T) {
	policy := DefaultGroupPolicy()
	policy.SealBytes = 700
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(func() layout { return NewGroupCommit(0, policy) })
		actions := w.actions()
		actions["tick"] = func(t *rapid.T) {
			w.tick(t, time.Duration(rapid.IntRange(1, 600).Draw(t, "ms"))*time.Millisecond)
		}
		actions["settle"] = func(t *rapid.T) {
			g := w.anyGrant(t, true)
			if g == nil {
				return
			}
			at := rapid.IntRange(0, 2).Draw(t, "writer")
			c := w.writers[at].(*GroupCommit)
			if !w.wishes[g.Intent.Owner].dropped && rapid.Bool().Draw(t, "ran") {
				w.do(t, at, c.Outcome(w.now, g.Intent, Outcome{Status: 200}))
				return
			}
			w.drop(g.Intent)
			w.do(t, at, c.Abandon(w.now, g.Intent))
		}
		for range 4 {
			t.Repeat(actions)
		}
		w.finish(t)
	})
}
