package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"
)

// answerCalls answers all calls of a layout at once until it makes none, and
// returns its other actions.
func answerCalls(h *harness, l layout, actions []Action) []Action {
	var out []Action
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		c := &call{}
		switch a := a.(type) {
		case Write:
			c.write = &a
			h.apply(c)
			r := WriteResult{Call: a.Call, Status: c.status, Version: c.object.Version, Current: &c.object}
			actions = append(actions, l.Written(h.now, r)...)
		case Read:
			c.read = &a
			h.apply(c)
			actions = append(actions, l.ReadBack(h.now, ReadResult{Call: a.Call, OK: true, Object: c.object})...)
		case List:
			r := ListResult{Call: a.Call, OK: true, Objects: h.store}
			actions = append(actions, l.(*GroupCommit).Listed(h.now, r)...)
		default:
			out = append(out, a)
		}
	}
	return out
}

func newIntent(owner Owner, body byte) Intent {
	return Intent{Workspace: "w", Key: keyAt(t0, 1), Owner: owner, Digest: Digest{body}, Deadline: t0.Add(time.Hour)}
}

// intend returns the layout's only answer to an intent.
func intend(t *testing.T, h *harness, l layout, in Intent) Action {
	t.Helper()
	actions := answerCalls(h, l, l.Intend(h.now, in))
	if g, ok := l.(*GroupCommit); ok {
		h.now = h.now.Add(time.Second)
		actions = append(actions, answerCalls(h, l, g.Tick(h.now))...)
	}
	assert.Assert(t, cmp.Len(actions, 1))
	return actions[0]
}

// A caller repeats a request. With the same body the repeat must be answered from
// the stored outcome, with another body it must be refused. A request that was
// never dispatched leaves its key free for the repeat, but not for a late copy of
// the abandoned intent.
func TestRepeatedRequests(t *testing.T) {
	for name, build := range map[string]func() layout{
		"per key":      func() layout { return NewPerKey() },
		"group commit": func() layout { return NewGroupCommit(0, DefaultGroupPolicy()) },
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(build)
			first := intend(t, h, h.writers[0], newIntent("a", 1)).(Grant)
			assert.Equal(t, intend(t, h, h.writers[1], newIntent("b", 2)).(Refuse).Reason, KeyReused)
			assert.Equal(t, intend(t, h, h.writers[1], newIntent("c", 1)).(Deny).Existing.State, Intended)
			endGrant(h, h.writers[0], first, nil)
			assert.Equal(t, intend(t, h, h.writers[0], newIntent("a", 1)).(Refuse).Reason, Late)
			second := intend(t, h, h.writers[0], newIntent("d", 1)).(Grant)
			endGrant(h, h.writers[0], first, nil) // a late copy, which must not free the second owner's key
			assert.Equal(t, intend(t, h, h.writers[0], newIntent("e", 1)).(Deny).Existing.Owner, Owner("d"))
			endGrant(h, h.writers[0], second, &Outcome{Status: 201, Body: []byte("done")})
			fresh := intend(t, h, build(), newIntent("e", 1)).(Deny)
			assert.Equal(t, fresh.Existing.Outcome.Status, 201)
			assert.Equal(t, string(fresh.Existing.Outcome.Body), "done")
		})
	}
}

// endGrant stores a grant's outcome, or abandons it where there is none.
func endGrant(h *harness, l layout, g Grant, o *Outcome) {
	var actions []Action
	switch l := l.(type) {
	case *PerKey:
		actions = l.Abandon(h.now, g)
		if o != nil {
			actions = l.Outcome(h.now, g, *o)
		}
	case *GroupCommit:
		g.Intent.Digest = Digest{} // must not replace the record's own
		if o != nil {
			actions = l.Outcome(h.now, g.Intent, *o)
		} else {
			actions = l.Abandon(h.now, g.Intent)
		}
		h.now = h.now.Add(time.Second)
		actions = append(actions, l.Tick(h.now)...)
	}
	answerCalls(h, l, actions)
}

// An intent is refused as not-run because the store is down. It must not be
// recorded, and intents must be granted again once the store is up.
func TestStoreDownRefusesAndRecovers(t *testing.T) {
	h := newHarness(func() layout { return NewGroupCommit(0, DefaultGroupPolicy()) })
	g := h.writers[0].(*GroupCommit)
	list := g.Intend(h.now, newIntent("a", 1))[0].(List)
	refuse := g.Listed(h.now, ListResult{Call: list.Call})[0].(Refuse)
	assert.Equal(t, refuse.Reason, StoreDown)
	assert.Assert(t, !refuse.MaybeRecorded)
	_, granted := intend(t, h, g, newIntent("b", 1)).(Grant)
	assert.Assert(t, granted)
}

// Guards against a request that runs twice after a daemon takes over the shard of
// a crashed writer, while the key is in a segment that was sealed long ago. The
// new writer must read the whole chain before it grants anything.
func TestNewWriterReadsSealedSegments(t *testing.T) {
	policy := DefaultGroupPolicy()
	policy.SealBytes = 300
	h := newHarness(func() layout { return NewGroupCommit(0, policy) })
	in := func(n byte, owner Owner) Intent {
		o := newIntent(owner, 1)
		o.Key = keyAt(t0, n)
		return o
	}
	for n := range byte(9) {
		_, granted := intend(t, h, h.writers[0], in(n, "a")).(Grant)
		assert.Assert(t, granted)
	}
	assert.Assert(t, len(h.store) > 3)
	for n := range byte(9) {
		_, denied := intend(t, h, h.writers[1], in(n, "b")).(Deny)
		assert.Assert(t, denied)
	}
}
