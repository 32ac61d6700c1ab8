package quarantine

import (
	"slices"
	"time"
)

// record is a crash in a table, with the sequence numbers of its changes.
type record struct {
	Crash
	changed uint64 // the latest but those that cleared parts
	// clearedAt is the number for each of Crash.ClearedParts.
	clearedAt []uint64
	requests  *evidence // nil until it is needed
	parts     *evidence
}

// cleared numbers what was added to ClearedParts, and drops what was derived from the crash.
func (r *record) cleared(seq uint64) {
	for len(r.clearedAt) < len(r.ClearedParts) {
		r.clearedAt = append(r.clearedAt, seq)
	}
	r.requests, r.parts = nil, nil
}

// latest returns the number of the latest change.
func (r *record) latest() uint64 {
	if n := len(r.clearedAt); n > 0 {
		return max(r.changed, r.clearedAt[n-1])
	}
	return r.changed
}

// since returns what a reader lacks that has all changes up to seq. If only parts were cleared,
// these are all that it gets: they are the changes that come by dozens.
func (r *record) since(seq uint64) Crash {
	if r.changed > seq {
		return r.clone()
	}
	first := slices.IndexFunc(r.clearedAt, func(at uint64) bool { return at > seq })
	return Crash{Endpoint: r.Endpoint, At: r.At, Void: r.Crash.Void, ClearedParts: slices.Clone(r.ClearedParts[first:])}
}

func (r *record) requestEvidence() *evidence {
	if r.requests == nil {
		r.requests = ofRequests(&r.Crash)
	}
	return r.requests
}

func (r *record) partEvidence() *evidence {
	if r.parts == nil {
		r.parts = ofParts(&r.Crash)
	}
	return r.parts
}

// maxHold is how long a part is held at most without a trial.
const maxHold = 24 * time.Hour

// maxAge is the age up to which a crash is taken from others. One under a part may be kept for longer,
// since the part is held until a trial.
func maxAge(c *Crash) time.Duration {
	if len(c.Prompts) > 0 {
		return maxHold
	}
	return retention
}

// expired reports whether a crash is no longer kept. The lock must be held.
func (t *Table) expired(now time.Time, r *record) bool {
	age := now.Sub(r.At)
	return age >= maxHold || age >= retention && !r.partEvidence().any(t.isHeldPart)
}
