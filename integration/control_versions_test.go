package integration

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/operator"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// wish is an operation's input: a read of the template, or a change to it.
type wish struct {
	read     bool
	expected uint64
}

// became is an operation's output.
type became struct {
	outcome template.Outcome
	version uint64 // that was read, or that an accepted change made
	current uint64 // that a refused change found, 0 where it found none
}

// oneLine is the sequential specification of a template: its state is its
// version; a change takes effect on the version that it expects and on no
// other, and makes a higher one.
var oneLine = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		return amended(state.(uint64), input.(wish), output.(became))
	},
}

func amended(stands uint64, in wish, out became) (bool, any) {
	switch {
	case in.read && stands == 0:
		return true, out.version // the first read says where the line starts
	case in.read:
		return out.version == stands, stands
	case out.outcome == template.Accepted:
		return stands == in.expected && out.version > stands, out.version
	case out.current == 0:
		return true, stands // refused before the template was read
	default:
		return stands == out.current && stands != in.expected, stands
	}
}

// changes records what operators saw. Safe for concurrent use.
type changes struct {
	start    time.Time
	mu       sync.Mutex
	ops      []porcupine.Operation
	accepted map[string]operator.ChangeResult // by operation
	refused  map[string]bool
	entries  map[uint64]operator.AuditEntry // history, by the version that a change made
}

func newChanges() *changes {
	return &changes{
		start:    time.Now(),
		accepted: make(map[string]operator.ChangeResult),
		refused:  make(map[string]bool),
		entries:  make(map[uint64]operator.AuditEntry),
	}
}

// note records one operation that began at a time.
func (c *changes) note(called time.Time, in wish, out became) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ops = append(c.ops, porcupine.Operation{
		Input: in, Output: out,
		Call: called.Sub(c.start).Nanoseconds(), Return: time.Since(c.start).Nanoseconds(),
	})
}

// ended records the end of a change.
func (c *changes) ended(called time.Time, expected uint64, operation string, r operator.ChangeResult) {
	c.note(called, wish{expected: expected}, became{outcome: r.Outcome, version: r.Version, current: r.Current})
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Outcome == template.Accepted {
		c.accepted[operation] = r
	} else {
		c.refused[operation] = true
	}
}

// saw takes a history. What stood in an earlier one must stand in it unchanged.
// The newest entry's version is the object's, and known only with the next one.
func (c *changes) saw(t *testing.T, list []operator.AuditEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range list {
		before, known := c.entries[e.Version]
		if known && before.Entry != e.Entry {
			t.Errorf("history of version %d was %+v and is %+v", e.Version, before.Entry, e.Entry)
		}
		c.entries[e.Version] = e
	}
}

// check compares the history with the operators' answers.
func (c *changes) check(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	assert.Equal(t, porcupine.CheckOperationsTimeout(oneLine, c.ops, checkTimeout), porcupine.Ok,
		"what operators were told is not the story of one line of versions")
	times := make(map[string]int)
	for version, e := range c.entries {
		times[e.Entry.Operation]++
		assert.Assert(t, !c.refused[e.Entry.Operation], "a refused change made version %d: %+v", version, e.Entry)
		r, ours := c.accepted[e.Entry.Operation]
		assert.Assert(t, !ours || r.Version == version, "change %+v made version %d", r, version)
		_, linked := c.entries[e.Entry.From]
		assert.Assert(t, linked || e.Entry.From == 0, "version %d replaces %d, which is not in the history", version, e.Entry.From)
	}
	for operation, r := range c.accepted {
		assert.Equal(t, times[operation], 1, "times that the accepted change %+v is in the history", r)
	}
	assert.Equal(t, len(c.entries), len(c.accepted)+1, "versions in the history; one is the deployment's own")
}

// Guards against a specification that accepts what operators must never see.
func TestSpecificationOfChanges(t *testing.T) {
	first := became{version: 1}
	for name, c := range map[string]struct {
		in  wish
		out became
		ok  bool
	}{
		"accepted on what stands":    {wish{expected: 1}, became{outcome: template.Accepted, version: 2}, true},
		"accepted on another":        {wish{expected: 7}, became{outcome: template.Accepted, version: 8}, false},
		"accepted, going back":       {wish{expected: 1}, became{outcome: template.Accepted, version: 1}, false},
		"refused over a conflict":    {wish{expected: 7}, became{outcome: template.Refused, current: 1}, true},
		"refused without a conflict": {wish{expected: 1}, became{outcome: template.Refused, current: 1}, false},
		"refused over what is none":  {wish{expected: 7}, became{outcome: template.Refused, current: 3}, false},
		"a read of another":          {wish{read: true}, became{version: 2}, false},
	} {
		ops := []porcupine.Operation{
			{Input: wish{read: true}, Output: first, Call: 0, Return: 1},
			{Input: c.in, Output: c.out, Call: 2, Return: 3},
		}
		assert.Equal(t, porcupine.CheckOperations(oneLine, ops), c.ok, name)
	}
}
