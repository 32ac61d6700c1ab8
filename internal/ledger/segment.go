package ledger

import (
	"encoding/json"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

const (
	// DefaultSealBytes is the size at which a segment is sealed. Each batch
	// rewrites its segment, so larger segments cost more bytes; smaller ones
	// make more objects, each of which must be deleted. See
	// docs/adr/0003-ledger.md.
	DefaultSealBytes = 4 << 10
	// recordBytes bounds an encoded record: its fixed part, a workspace and an
	// owner of ordinary length, and an outcome's body in base64.
	recordBytes = 1024 + MaxOutcomeBody*4/3
	// maxBatch bounds a batch's records, so that a segment that was just too
	// short to be sealed stays within the store's largest value.
	maxBatch = (objectapi.MaxValueBytes - DefaultSealBytes) / recordBytes
)

// segment is the value of a segment's object: records in the order in which they
// were written. A later record of a key replaces an earlier one. A sealed segment
// is never written again; the segment with the next number succeeds it.
type segment struct {
	Sealed  bool     `json:"sealed,omitempty"`
	Records []Record `json:"records"`
}

// encodeSegment builds a segment's JSON from records that are encoded already, so
// that a batch doesn't cost the encoding of the records before it.
func encodeSegment(committed, batch []byte, sealed bool) []byte {
	out := make([]byte, 0, len(committed)+len(batch)+40)
	out = append(out, '{')
	if sealed {
		out = append(out, `"sealed":true,`...)
	}
	out = append(out, `"records":[`...)
	out = append(out, committed...)
	if len(committed) > 0 && len(batch) > 0 {
		out = append(out, ',')
	}
	out = append(out, batch...)
	return append(out, "]}"...)
}

func appendRecord(to []byte, r Record) []byte {
	text, _ := json.Marshal(r) // plain fields: can't fail
	if len(to) > 0 {
		to = append(to, ',')
	}
	return append(to, text...)
}
