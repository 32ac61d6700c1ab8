package audit

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// testTrail returns a trail of n appended entries; entry i replaced version 10*i.
func testTrail(n int) Trail {
	var out Trail
	for i := range n {
		out = out.Append(Entry{
			Who:       "ana",
			When:      int64(1000 + i),
			Action:    Amended,
			From:      uint64(10 * i),
			Why:       "because",
			Digest:    Digest([]byte{byte(i)}),
			Operation: fmt.Sprint("operation-", i),
		})
	}
	return out
}

// Beyond MaxKept, the oldest entries are only part of the summary's hash. The
// trail must still verify, also after encoding and decoding, and be comparable
// with an earlier copy.
func TestFullTrailSummarizesOldEntriesAndStillVerifies(t *testing.T) {
	long := testTrail(MaxKept + 50)
	assert.NilError(t, long.Verify())
	assert.Equal(t, len(long.Entries), MaxKept)
	assert.Equal(t, long.Older.Count, uint64(50))
	assert.Equal(t, long.Older.Newest, int64(1049))
	assert.Equal(t, long.Len(), uint64(MaxKept+50))
	assert.NilError(t, long.Continues(testTrail(60)))
	assert.ErrorContains(t, long.Continues(testTrail(20)), "no longer kept")
	encoded, err := json.Marshal(long)
	assert.NilError(t, err)
	var decoded Trail
	assert.NilError(t, json.Unmarshal(encoded, &decoded))
	assert.NilError(t, decoded.Verify())
	assert.DeepEqual(t, decoded, long)
}

// Someone edits the stored object by hand, or a fault in the software drops an
// entry. Verify must detect an edited trail, Continues a trail that was rewritten
// with valid hashes or is shorter than before.
func TestVerifyAndContinuesDetectChangedTrails(t *testing.T) {
	edits := map[string]func(*Trail){
		"why":     func(l *Trail) { l.Entries[3].Why = "other" },
		"who":     func(l *Trail) { l.Entries[3].Who += "b"; l.Entries[3].Why = l.Entries[3].Why[1:] },
		"dropped": func(l *Trail) { l.Entries = append(l.Entries[:3:3], l.Entries[4:]...) },
		"swapped": func(l *Trail) { l.Entries[3], l.Entries[4] = l.Entries[4], l.Entries[3] },
		"cut":     func(l *Trail) { l.Entries = l.Entries[:8] },
		"older":   func(l *Trail) { l.Older.Hash[0]++ },
	}
	for name, edit := range edits {
		changed := testTrail(10)
		edit(&changed)
		assert.Assert(t, changed.Verify() != nil, name)
	}
	rewritten := testTrail(3).Append(Entry{Who: "eve", From: 30, Operation: "x"})
	assert.NilError(t, rewritten.Verify())
	assert.ErrorContains(t, rewritten.Continues(testTrail(4)), "rewritten")
	assert.ErrorContains(t, testTrail(3).Continues(testTrail(4)), "3 entries where there were 4")
}

func TestFindVersionAfterAndCovers(t *testing.T) {
	long := testTrail(MaxKept + 5)
	i := long.Find("operation-7")
	assert.Equal(t, long.Entries[i].From, uint64(70))
	assert.Equal(t, long.VersionAfter(i, 9999), uint64(80))
	assert.Equal(t, long.VersionAfter(MaxKept-1, 9999), uint64(9999))
	assert.Equal(t, long.Find("operation-4"), -1)
	assert.Assert(t, long.Covers(50) && !long.Covers(49))
	assert.Assert(t, testTrail(5).Covers(0))
}

// Operators may give the longest possible reasons, of characters that JSON
// escapes. If the trail then grew to the store's size limit, the object could
// never be changed again.
func TestLongReasonsDontExceedMaxKeptBytes(t *testing.T) {
	var long Trail
	for i := range MaxKept {
		e := Entry{Who: strings.Repeat("<", MaxWhoBytes), Why: strings.Repeat("\x01", MaxWhyBytes), From: uint64(i), Operation: "o"}
		assert.NilError(t, e.Check())
		long = long.Append(e)
	}
	encoded, err := json.Marshal(long)
	assert.NilError(t, err)
	assert.Assert(t, len(encoded) < MaxKeptBytes+512, "%d bytes", len(encoded))
	assert.NilError(t, long.Verify())
}

// A missing operator or operation, too long a reason or invalid UTF-8 must not
// get into a trail.
func TestCheckRejectsFieldsOutOfBounds(t *testing.T) {
	good := Entry{Who: "ana", Operation: "o"}
	assert.NilError(t, good.Check())
	for _, change := range []func(*Entry){
		func(e *Entry) { e.Who = "" },
		func(e *Entry) { e.Operation = "" },
		func(e *Entry) { e.Why = strings.Repeat("a", MaxWhyBytes+1) },
		func(e *Entry) { e.Why = "\xff" },
	} {
		bad := good
		change(&bad)
		assert.Assert(t, bad.Check() != nil)
	}
}

func BenchmarkAppendToFullTrail(b *testing.B) {
	long, entry := testTrail(MaxKept), testTrail(1).Entries[0]
	b.ReportAllocs()
	for b.Loop() {
		long.Append(entry)
	}
}
