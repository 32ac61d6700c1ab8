package request

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

func ref(id string) Ref { return Ref{Workspace: "w", ID: fleet.RequestID(id)} }

func TestTableAttachesByKeyAndBody(t *testing.T) {
	table := NewTable(TableLimits{Live: 2, Bytes: 1 << 20, Retention: time.Minute})
	now := time.Unix(1000, 0)
	_, how := table.Begin(now, ref("1"), Digest{1}, &Lifecycle{})
	assert.Equal(t, how, Created)
	_, how = table.Begin(now, ref("1"), Digest{1}, &Lifecycle{})
	assert.Equal(t, how, Attached)
	_, how = table.Begin(now, ref("1"), Digest{2}, &Lifecycle{})
	assert.Equal(t, how, Conflict)
	_, how = table.Begin(now, Ref{Workspace: "other", ID: ref("1").ID}, Digest{1}, &Lifecycle{})
	assert.Equal(t, how, Created)
	_, how = table.Begin(now, ref("2"), Digest{1}, &Lifecycle{})
	assert.Equal(t, how, Full)
	table.Finish(now, ref("1"))
	_, how = table.Begin(now, ref("1"), Digest{1}, &Lifecycle{})
	assert.Equal(t, how, Attached)
	_, how = table.Begin(now.Add(time.Minute), ref("1"), Digest{1}, &Lifecycle{})
	assert.Equal(t, how, Created)
}

// Guards against running out of memory when callers don't fetch finished answers:
// the oldest finished requests must be dropped, the live ones kept.
func TestTableBoundsFinishedBytes(t *testing.T) {
	table := NewTable(TableLimits{Live: 100, Bytes: 10 * entryBytes, Retention: time.Hour})
	now := time.Unix(1000, 0)
	table.Begin(now, ref("live"), Digest{}, &Lifecycle{})
	for i := range 50 {
		r := ref(string(rune('A' + i)))
		table.Begin(now, r, Digest{}, &Lifecycle{})
		table.Finish(now, r)
	}
	assert.Assert(t, table.Bytes() <= 10*entryBytes)
	assert.Equal(t, table.Len(), 11)
	assert.Assert(t, table.Get(ref("live")) != nil)
	assert.Assert(t, table.Get(ref("A")) == nil)
	for e := range table.Running() {
		assert.Equal(t, e.Ref, ref("live"))
	}
}
