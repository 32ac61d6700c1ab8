package origin

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

func TestOriginIsKnownForRetentionAfterItsLastRecord(t *testing.T) {
	table, o := NewTable(), Origin{"s", "v1"}
	table.Put(start, 1, o)
	table.Put(start.Add(Retention/2), 1, o)
	got, known := table.Get(start.Add(Retention+time.Second), 1)
	assert.Assert(t, known && got == o)
	table.Expire(start.Add(2 * Retention))
	_, known = table.Get(start.Add(2*Retention), 1)
	assert.Assert(t, !known)
	assert.Equal(t, table.Len(), 0)
}

// Guards against a choice between two versions that are recorded for one stream.
func TestContradictedOriginIsUnknown(t *testing.T) {
	table := NewTable()
	table.Put(start, 1, Origin{"s", "v1"})
	table.Put(start, 1, Origin{"s", "v2"})
	table.Put(start, 1, Origin{"s", "v1"})
	_, known := table.Get(start, 1)
	assert.Assert(t, !known && table.Has(1))
}

func TestRevokedOriginStaysUnknown(t *testing.T) {
	table := NewTable()
	table.Put(start, 1, Origin{"s", "v1"})
	table.Revoke(start, 1)
	table.Put(start, 1, Origin{"s", "v1"})
	_, known := table.Get(start, 1)
	assert.Assert(t, !known)
}

// Guards against a table that grows with the traffic.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for k := range Key(maxOrigins + 100) {
		table.Put(start, k, Origin{"s", "v1"})
	}
	assert.Equal(t, table.Len(), maxOrigins)
	_, known := table.Get(start, maxOrigins+99)
	assert.Assert(t, known)
}

func TestKeysOfWorkspacesDiffer(t *testing.T) {
	assert.Assert(t, KeyOf("a", "1") != KeyOf("b", "1"))
	assert.Assert(t, KeyOf("a", "1") != KeyOf("", "a1"))
}
