package template

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/audit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// objects is a store of one template that keeps all of its versions.
type objects struct {
	versions []objectapi.Object
	newest   Record // the last of versions, decoded
	version  uint64
	delayed  []Write // in transit, may take effect at any later time
}

func (o *objects) current() objectapi.Object {
	if len(o.versions) == 0 {
		return objectapi.Object{Kind: Kind, Name: "month-end"}
	}
	return o.versions[len(o.versions)-1]
}

func (o *objects) write(w Write) bool {
	o.version += 3 // other objects are written in between
	if o.current().Version != w.IfVersion {
		return false
	}
	o.versions = append(o.versions, objectapi.Object{Kind: Kind, Name: w.Name, Version: o.version, Value: w.Value})
	return true
}

func (o *objects) read(t assert.TestingT) Record {
	if o.newest.Version != o.current().Version {
		r, err := RecordOf(o.current())
		assert.NilError(t, err)
		o.newest = r
	}
	return o.newest
}

// operator amends the template repeatedly. One step is one call to the store.
type operator struct {
	name      string
	remaining int // changes still to be accepted
	change    Change
	sent      Write
	sending   bool
	attempts  int
	accepted  []string // operation ids
	refused   []string
	unknown   []string
}

// step makes the operator's next call to the store. The fault is injected into
// a write: 0 loses its response, 1 delays it, 2 loses it; -1 is no fault.
func (o *operator) step(t assert.TestingT, store *objects, fault int) {
	if o.sending {
		o.send(t, store, fault)
		return
	}
	current := store.read(t)
	o.attempts++
	operation := fmt.Sprintf("%s-%d", o.name, o.attempts)
	requested := small("month-end")
	requested.Workspaces[0].Priority = Scalar(fmt.Sprint(o.attempts % 100))
	requested.Workspaces[0].Name = fleet.WorkspaceID(operation)
	o.change = Change{Name: "month-end", Expected: current.Version, Template: requested, Who: o.name, Why: operation, Operation: operation}
	if o.attempts%17 == 0 && current.Exists() {
		o.change.Template = nil
	}
	o.handle(o.change.Plan(current, time.UnixMilli(int64(o.attempts))))
}

func (o *operator) send(t assert.TestingT, store *objects, fault int) {
	switch fault {
	case 1:
		store.delayed = append(store.delayed, o.sent)
	case 2:
	default:
		written := store.write(o.sent)
		if written && fault != 0 {
			o.handle(o.change.WriteSucceeded(store.version))
			return
		}
	}
	o.handle(o.change.Resolve(o.sent, store.read(t)))
}

func (o *operator) handle(r Result) {
	o.sending = r.Outcome == Proceed
	switch r.Outcome {
	case Proceed:
		o.sent = r.Write
	case Accepted:
		o.accepted = append(o.accepted, o.change.Operation)
		o.remaining--
	case Refused:
		o.refused = append(o.refused, o.change.Operation)
	case Unknown:
		o.unknown = append(o.unknown, o.change.Operation)
	}
}

// amend runs operators until each has had its number of changes accepted.
func amend(t assert.TestingT, operators, changes int, pick func(n int) int) (*objects, []*operator) {
	store := &objects{newest: Record{Name: "month-end"}}
	var all, busy []*operator
	for i := range operators {
		all = append(all, &operator{name: fmt.Sprintf("operator-%d", i), remaining: changes})
	}
	busy = append(busy, all...)
	for len(busy) > 0 {
		i := pick(len(busy))
		busy[i].step(t, store, pickFault(pick))
		if busy[i].remaining == 0 {
			busy = append(busy[:i:i], busy[i+1:]...)
		}
		if len(store.delayed) > 0 && pick(3) == 0 {
			store.write(store.delayed[0])
			store.delayed = store.delayed[1:]
		}
	}
	return store, all
}

// pickFault returns the fault of a write, see step: one write in five has one.
func pickFault(pick func(n int) int) int {
	if pick(5) > 0 {
		return -1
	}
	return pick(3)
}

// checkHistory fails unless each version continues the previous one, each
// accepted change occurs exactly once, and no refused one occurs.
func checkHistory(t assert.TestingT, store *objects, operators []*operator) {
	occurrences := map[string]int{}
	before := Record{Name: "month-end"}
	for _, object := range store.versions {
		r, err := RecordOf(object)
		assert.NilError(t, err)
		assert.NilError(t, r.Audit.Continues(before.Audit))
		assert.Equal(t, r.Audit.Len(), before.Audit.Len()+1)
		entry := r.Audit.Entries[len(r.Audit.Entries)-1]
		assert.Equal(t, entry.From, before.Version)
		assert.Assert(t, r.Version > before.Version)
		occurrences[entry.Operation]++
		before = r
	}
	assert.NilError(t, before.Audit.Verify())
	accepted := 0
	for _, o := range operators {
		for _, operation := range o.accepted {
			assert.Equal(t, occurrences[operation], 1, operation)
		}
		for _, operation := range o.refused {
			assert.Equal(t, occurrences[operation], 0, operation)
		}
		assert.Equal(t, len(o.unknown), 0)
		accepted += len(o.accepted)
	}
	assert.Equal(t, len(store.versions), accepted)
}

// Ten operators concurrently amend one template, 50 times each, and one write
// in five has no response: the response is lost, the write is lost, or it
// arrives late. Each operator must get the true outcome of every change, and
// the audit trail must have no gaps and no duplicates.
func TestTenOperatorsAmendAtOnce(t *testing.T) {
	random := rand.New(rand.NewPCG(6, 6))
	store, operators := amend(t, 10, 50, random.IntN)
	attempts := 0
	for _, o := range operators {
		attempts += o.attempts
	}
	t.Logf("%d attempts for %d accepted changes", attempts, len(store.versions))
	checkHistory(t, store, operators)
	assert.Equal(t, store.read(t).Audit.Len(), uint64(500))
	assert.Equal(t, len(store.read(t).Audit.Entries), audit.MaxKept)
}

// As above, with random schedules. A daemon receives the versions by watch,
// list and peers, in any order and repeatedly. The version it has in force must
// never decrease.
func TestHistoryIsLinearAndVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "pick") }
		store, operators := amend(t, rapid.IntRange(1, 4).Draw(t, "operators"), 6, pick)
		checkHistory(t, store, operators)
		daemon, highest := NewStore(), uint64(0)
		for range 30 {
			daemon.Apply(RevisionsOf(store.versions[pick(len(store.versions)):][:1])...)
			version := daemon.version("month-end")
			assert.Assert(t, version >= highest, "%d after %d", version, highest)
			highest = version
		}
		daemon.Apply(RevisionsOf(store.versions)...)
		assert.Equal(t, daemon.version("month-end"), store.current().Version)
	})
}
