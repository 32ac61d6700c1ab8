package quarantinepb

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
)

// Encoding and decoding must keep every field of crashes and positions.
func TestCrashesRoundTrip(t *testing.T) {
	at := time.UnixMicro(1_000_000_123_456)
	k := quarantine.KeyOf("w", "POST", "/x", []byte("b"))
	sent := []quarantine.Crash{
		{Endpoint: 7, At: at, Void: true},
		{
			Endpoint: 8, At: at, Cleared: []quarantine.Key{k},
			Suspects: []quarantine.Suspect{{Request: k, Sent: at.Add(-50_007 * time.Microsecond)}},
		},
		{
			Endpoint: 9, Hash: 10, At: at, ClearedParts: []quarantine.Key{quarantine.PartOf(4, 5)},
			Prompts: []quarantine.Prompt{{Workspace: 3, Scope: 4, Parts: []uint64{5, 1 << 60}, Sent: at.Add(-7 * time.Microsecond)}},
		},
	}
	assert.DeepEqual(t, Decode(Encode(sent)), sent)
	p := quarantine.Position{Epoch: 3, Seq: 4}
	assert.Equal(t, DecodePosition(EncodePosition(p)), p)
}

// Lists of different lengths, or missing ones, must be read up to the shortest
// and must not panic.
func TestUnevenListsAreTruncated(t *testing.T) {
	got := Decode([]*Crash{
		{Endpoint: 1, Suspects: &Requests{Workspaces: []uint32{1, 2}, Requests: []uint64{1}, SentMs: []int64{5, 6, 7}}},
		{Endpoint: 2, Suspects: &Requests{Workspaces: []uint32{1}, Requests: []uint64{1}}},
		{Endpoint: 3, Prompts: []*Prompt{{}}, ClearedParts: &Parts{Scopes: []uint32{1}}},
	})
	assert.Equal(t, len(got), 3)
	assert.Equal(t, len(got[2].Prompts[0].Parts)+len(got[2].ClearedParts), 0)
	assert.Equal(t, len(got[0].Suspects), 1)
	assert.Equal(t, len(got[1].Suspects)+len(got[2].Suspects), 0)
}
