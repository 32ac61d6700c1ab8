package ledger

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// The first daemon records an intent. Its owner abandons the key through a second
// daemon, which then grants it to another owner. A third owner asks the first
// daemon, whose view is older. Answered from that view, it would be denied because
// of an owner that no longer holds the key: the history would not be
// linearizable, and had no other owner been granted the key, a free key would be
// denied.
func TestDenialNeedsAViewNewerThanTheIntent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	policy := DefaultGroupPolicy()
	key := Key{ID: uuid.Must(uuid.NewV7()), At: now}
	intent := func(owner Owner) Intent {
		return Intent{Workspace: "w", Key: key, Owner: owner, Deadline: now.Add(time.Minute)}
	}
	s := &oneSegment{t: t}
	first, second := NewGroupCommit(0, policy), NewGroupCommit(0, policy)
	assert.Equal(t, s.serve(now, first, first.Intend(now, intent("o0"))).(Grant).Intent.Owner, Owner("o0"))
	s.serve(now, second, second.Abandon(now, intent("o0")))
	assert.Equal(t, s.serve(now, second, second.Intend(now, intent("o1"))).(Grant).Intent.Owner, Owner("o1"))
	assert.Equal(t, s.serve(now, first, first.Intend(now, intent("o4"))).(Deny).Existing.Owner, Owner("o1"))
}

// oneSegment is a store without faults that holds one segment.
type oneSegment struct {
	t      *testing.T
	name   string
	object Object
}

// serve makes a writer's calls until it needs no more, and returns its last answer
// to an owner.
func (s *oneSegment) serve(now time.Time, g *GroupCommit, actions []Action) Action {
	var last Action
	for ticks := 0; ticks < 3; ticks++ {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			switch a := a.(type) {
			case List:
				actions = append(actions, g.Listed(now, ListResult{Call: a.Call, OK: true, Objects: map[string]Object{s.name: s.object}})...)
			case Read:
				actions = append(actions, g.ReadBack(now, ReadResult{Call: a.Call, OK: true, Object: s.object})...)
			case Write:
				actions = append(actions, g.Written(now, s.write(&a))...)
			default:
				last = a
			}
		}
		now = now.Add(time.Second)
		actions = g.Tick(now)
	}
	return last
}

func (s *oneSegment) write(w *Write) WriteResult {
	if w.Version != s.object.Version {
		return WriteResult{Call: w.Call, Status: Conflict}
	}
	s.name, s.object = w.Name, Object{Version: s.object.Version + 1, Value: w.Value}
	return WriteResult{Call: w.Call, Status: Written, Version: s.object.Version}
}
