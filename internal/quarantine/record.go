package quarantine

import (
	"slices"
	"time"
)

// record is a crash in a table, with the sequence numbers of its changes.
type record struct {
	Crash
	touched time.Time // when it last changed
	changed uint64    // the latest change but those that cleared something
	// requestsAt and partsAt are the numbers for each of Crash.Cleared and Crash.ClearedParts.
	requestsAt, partsAt []uint64
	requests            *evidence // nil until it is needed
	parts               *evidence
}

// cleared numbers what was added to Cleared and ClearedParts, and drops what was derived from the
// crash.
func (r *record) cleared(seq uint64) {
	for len(r.requestsAt) < len(r.Cleared) {
		r.requestsAt = append(r.requestsAt, seq)
	}
	for len(r.partsAt) < len(r.ClearedParts) {
		r.partsAt = append(r.partsAt, seq)
	}
	r.requests, r.parts = nil, nil
}

// latest returns the number of the latest change.
func (r *record) latest() uint64 {
	out := r.changed
	for _, all := range [...][]uint64{r.requestsAt, r.partsAt} {
		if n := len(all); n > 0 {
			out = max(out, all[n-1])
		}
	}
	return out
}

// since returns what a reader lacks that has all changes up to seq. If only requests and parts were
// cleared, these are all that it gets: they are the changes that come by dozens.
func (r *record) since(seq uint64) Crash {
	if r.changed > seq {
		return r.clone()
	}
	return Crash{
		Endpoint: r.Endpoint, Hash: r.Hash, At: r.At, Void: r.Crash.Void,
		Cleared: newer(r.Cleared, r.requestsAt, seq), ClearedParts: newer(r.ClearedParts, r.partsAt, seq),
	}
}

// newer returns the keys with a number above seq.
func newer(keys []Key, at []uint64, seq uint64) []Key {
	for i := range at {
		if at[i] > seq {
			return slices.Clone(keys[i:])
		}
	}
	return nil
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
	if len(c.Prompts)+len(c.ClearedParts) > 0 {
		return maxHold
	}
	return retention
}

// tellTime is how long a change is kept at least, so that other daemons receive it.
const tellTime = time.Minute

// expired reports whether a crash is no longer kept. The lock must be held.
func (t *Table) expired(now time.Time, r *record) bool {
	age := now.Sub(r.At)
	told := now.Sub(r.touched) >= tellTime
	return age >= maxHold || age >= retention && told && !r.partEvidence().any(t.isHeldPart)
}
