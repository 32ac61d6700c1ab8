package template

import (
	"strings"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/audit"
	"gotest.tools/v3/assert"
)

var noon = time.Date(2026, 1, 31, 12, 0, 0, 0, time.UTC)

func change(expected uint64, requested *Template, operation string) Change {
	return Change{Name: "a", Expected: expected, Template: requested, Who: "ana", Why: "test", Operation: operation}
}

// stored returns the record after a change took effect as a version.
func stored(t *testing.T, current Record, c Change, version uint64) Record {
	r := c.Plan(current, noon)
	assert.Equal(t, r.Outcome, Proceed, r.Reason)
	next := Record{Name: c.Name, Version: version, Deleted: c.Template == nil, Template: c.Template}
	value, err := next.Value()
	assert.NilError(t, err)
	assert.Assert(t, len(value) > 0)
	next.Audit = current.Audit.Append(c.entry(current, audit.Amended, nil, noon))
	return next
}

// An operator amends a template that another has changed in the meantime. The
// change must be refused with the stored version and the difference to it, not
// overwrite the other's.
func TestConflictReturnsTheDifference(t *testing.T) {
	first := stored(t, Record{Name: "a"}, change(0, small("a"), "1"), 5)
	requested := small("a")
	requested.Workspaces[0].Priority = "7"
	r := change(4, requested, "2").Plan(first, noon)
	assert.Equal(t, r.Outcome, Refused)
	assert.Equal(t, r.Current, uint64(5))
	assert.Equal(t, len(r.Diff), 1)
	assert.Equal(t, r.Diff[0].String(), "+ workspaces[w].priority: 7")
}

// The response to a write is lost, and another operator amends the template
// before it is read back. The audit trail must show that the write took effect.
func TestSupersededChangeWithLostResponseIsAccepted(t *testing.T) {
	ours := change(0, small("a"), "ours")
	sent := ours.Plan(Record{Name: "a"}, noon).Write
	first := stored(t, Record{Name: "a"}, ours, 5)
	requested := small("a")
	requested.Workspaces[0].Priority = "7"
	second := stored(t, first, change(5, requested, "theirs"), 9)
	r := ours.Resolve(sent, second)
	assert.Equal(t, r.Outcome, Accepted)
	assert.Equal(t, r.Version, uint64(5))
	assert.Equal(t, r.Superseded, true)
}

// The response is lost and more changes follow than the audit trail keeps, so
// whether the write took effect can't be decided. Reporting it as refused could
// be wrong.
func TestLostResponseOlderThanTheAuditTrailIsUnknown(t *testing.T) {
	ours := change(1, small("a"), "ours")
	now := Record{Name: "a", Version: 2000, Template: small("a")}
	for i := range audit.MaxKept + 2 {
		now.Audit = now.Audit.Append(audit.Entry{From: uint64(i + 1), Operation: "theirs"})
	}
	assert.Equal(t, ours.Resolve(Write{IfVersion: 1}, now).Outcome, Unknown)
	assert.Equal(t, ours.Resolve(Write{IfVersion: 100}, now).Outcome, Refused)
}

// A read-back that returns the old version doesn't prove that the write failed:
// it may still be in transit. The same write must be sent again, with the same
// condition, so that at most one of the two takes effect.
func TestUnchangedVersionRepeatsTheSameWrite(t *testing.T) {
	ours := change(0, small("a"), "ours")
	sent := ours.Plan(Record{Name: "a"}, noon).Write
	r := ours.Resolve(sent, Record{Name: "a"})
	assert.Equal(t, r.Outcome, Proceed)
	assert.DeepEqual(t, r.Write, sent)
}

// A store restored to an older state doesn't show whether the write took
// effect, so the change must not be reported as refused.
func TestStoreOlderThanTheReplacedVersionIsUnknown(t *testing.T) {
	ours := change(9, small("a"), "ours")
	assert.Equal(t, ours.Resolve(Write{IfVersion: 9}, Record{Name: "a", Version: 5}).Outcome, Unknown)
}

// A template that is created again must replace its tombstone, with a higher
// version. Otherwise daemons that have the tombstone would ignore the new
// template as older.
func TestRecreationReplacesTheTombstone(t *testing.T) {
	first := stored(t, Record{Name: "a"}, change(0, small("a"), "1"), 5)
	tombstone := stored(t, first, change(5, nil, "2"), 8)
	r := change(0, small("a"), "3").Plan(tombstone, noon)
	assert.Equal(t, r.Outcome, Proceed)
	assert.Equal(t, r.Write.IfVersion, uint64(8))
	assert.Assert(t, strings.Contains(string(r.Write.Value), `"action":"created","from":8`))
	assert.Equal(t, change(5, small("a"), "4").Plan(tombstone, noon).Outcome, Refused)
	assert.Equal(t, change(8, nil, "5").Plan(tombstone, noon).Outcome, Unchanged)
}

func TestPlanRefusesFaultyChanges(t *testing.T) {
	invalid := small("b")
	invalid.Closing.At = "soon"
	c := change(0, invalid, "1")
	c.Who = ""
	r := c.Plan(Record{Name: "a"}, noon)
	assert.Equal(t, r.Outcome, Refused)
	assert.Equal(t, len(r.Problems), 3, "%v", r.Problems)
}

func TestPlanOfAnAcceptedOrEqualChangeWritesNothing(t *testing.T) {
	first := stored(t, Record{Name: "a"}, change(0, small("a"), "1"), 5)
	assert.Equal(t, change(0, small("a"), "1").Plan(first, noon).Outcome, Accepted)
	assert.Equal(t, change(5, small("a"), "2").Plan(first, noon).Outcome, Unchanged)
}
