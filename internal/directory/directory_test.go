package directory

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

var (
	start  = time.Unix(1_000, 0)
	config = Config{MaxEntries: 100, RunningTTL: time.Minute, FinishedTTL: 10 * time.Second}
)

func holdingOf(by fleet.InstanceID, transfer uint64) Holding {
	return Holding{Request: "r", Workspace: "w", Holder: by, Transfer: transfer}
}

func TestFirstClaimWins(t *testing.T) {
	d := New(config)
	assert.Equal(t, d.Claim(start, holdingOf("a", 0)).Holder, fleet.InstanceID("a"))
	assert.Equal(t, d.Claim(start, holdingOf("b", 0)).Holder, fleet.InstanceID("a"))
	assert.Equal(t, d.Claim(start.Add(time.Minute), holdingOf("b", 0)).Holder, fleet.InstanceID("b"))
}

// The registration of a transfer arrives before the one of the origin. A lookup
// must return the successor, since the origin no longer holds the request.
func TestLateRegistrationDoesNotUndoTransfer(t *testing.T) {
	d := New(config)
	d.Register(start, holdingOf("successor", 1))
	d.Register(start, holdingOf("origin", 0))
	h, ok := d.Lookup(start, "r")
	assert.Assert(t, ok)
	assert.Equal(t, h.Holder, fleet.InstanceID("successor"))
}

func TestFinishedEntryIsNotReopened(t *testing.T) {
	d := New(config)
	h := holdingOf("a", 0)
	h.Finished = true
	d.Register(start, h)
	assert.Assert(t, d.Register(start, holdingOf("a", 0)).Finished)
	_, ok := d.Lookup(start.Add(config.FinishedTTL), "r")
	assert.Assert(t, !ok)
}

// A daemon fails, and callers retry its requests with the same keys at other
// daemons. The claims of the failed one must not block the retries.
func TestForgetFreesTheClaimsOfADeadInstance(t *testing.T) {
	d := New(config)
	d.Claim(start, holdingOf("dead", 0))
	d.Forget("dead")
	assert.Equal(t, d.Claim(start, holdingOf("b", 0)).Holder, fleet.InstanceID("b"))
}

func TestEntriesAreBounded(t *testing.T) {
	d := New(config)
	for i := range 10 * config.MaxEntries {
		d.Claim(start, Holding{Request: fleet.RequestID(fmt.Sprint(i)), Holder: "a"})
	}
	assert.Equal(t, d.Len(), config.MaxEntries)
	assert.Assert(t, len(d.order) <= 4*config.MaxEntries)
	d.Claim(start.Add(time.Hour), holdingOf("a", 0))
	assert.Equal(t, d.Len(), 1)
}

func BenchmarkClaim(b *testing.B) {
	d := New(Config{MaxEntries: 10_000, RunningTTL: time.Minute, FinishedTTL: time.Minute})
	ids := make([]fleet.RequestID, 20_000)
	for i := range ids {
		ids[i] = fleet.RequestID(fmt.Sprint(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		d.Claim(start, Holding{Request: ids[i%len(ids)], Holder: "a"})
	}
}
