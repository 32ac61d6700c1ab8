package drain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// An operator drains an endpoint and then reverts that. A daemon that reads the
// two versions in the wrong order must not leave the endpoint drained.
func TestOlderVersionIsIgnored(t *testing.T) {
	now := time.Unix(1_000, 0)
	first, err := Record{Endpoint: "e"}.Next(now, true, "ana", "maintenance", "op-1")
	assert.NilError(t, err)
	one, err := RecordOf(objectapi.Object{Kind: Kind, Name: "e", Version: 4, Value: first})
	assert.NilError(t, err)
	second, err := one.Next(now, false, "ana", "done", "op-2")
	assert.NilError(t, err)
	two, err := RecordOf(objectapi.Object{Kind: Kind, Name: "e", Version: 9, Value: second})
	assert.NilError(t, err)
	assert.Equal(t, two.Audit.Len(), uint64(2))
	assert.NilError(t, two.Audit.Verify())

	s := NewSet()
	assert.Assert(t, !s.Apply(two))
	assert.Assert(t, !s.Apply(one))
	assert.Assert(t, !s.Draining("e"))
}
