package audit

import "slices"

// MaxKept is the maximum number of entries that a trail keeps in full. 200 cover
// a week of a template that is amended 28 times a day, and take 40 to 50 KB with
// texts of usual length.
const MaxKept = 200

// MaxKeptBytes is the maximum size in JSON of the entries that a trail keeps in
// full. Without it, 200 of the longest reasons, made of characters that JSON
// escapes, would take 600 KB, and an object near the store's size limit could
// never be changed again.
const MaxKeptBytes = 192 << 10

// Summary replaces the oldest entries, which a trail no longer keeps in full.
type Summary struct {
	Count  uint64 `json:"count"`
	Hash   Hash   `json:"hash"`             // chained hash of all of them
	Newest int64  `json:"newest,omitempty"` // When of the newest of them, Unix milliseconds
}

// Trail is the history of one object, oldest entry first. Append leaves a Trail
// unchanged and returns a new one.
type Trail struct {
	Older   Summary `json:"older"`
	Entries []Entry `json:"entries"`
	Head    Hash    `json:"head"` // chained hash of all entries, summarized or not
}

// Append returns the trail with e at its end. Beyond MaxKept entries or
// MaxKeptBytes, the oldest entries move into the summary.
func (t Trail) Append(e Entry) Trail {
	next := t
	next.Entries = append(slices.Clone(t.Entries), e)
	next.Head = e.chainHash(t.Head)
	size := 0
	for _, kept := range next.Entries {
		size += kept.maxEncodedBytes()
	}
	for len(next.Entries) > MaxKept || size > MaxKeptBytes {
		size -= next.Entries[0].maxEncodedBytes()
		next.Older = next.Older.add(next.Entries[0])
		next.Entries = next.Entries[1:]
	}
	return next
}

// add returns the summary with e, the entry that follows its newest one.
func (s Summary) add(e Entry) Summary {
	return Summary{Count: s.Count + 1, Hash: e.chainHash(s.Hash), Newest: e.When}
}

// Len returns the number of changes that the trail records, summarized or not.
func (t Trail) Len() uint64 { return t.Older.Count + uint64(len(t.Entries)) }

// Find returns the index in Entries of the change with this Operation, -1 if
// there is none.
func (t Trail) Find(operation string) int {
	return slices.IndexFunc(t.Entries, func(e Entry) bool { return e.Operation == operation })
}

// Covers reports whether a change that replaced version from would still be
// among Entries: either no entry was summarized, or the oldest of Entries
// replaced version from or an earlier one.
func (t Trail) Covers(from uint64) bool {
	if t.Older.Count == 0 {
		return true
	}
	return len(t.Entries) > 0 && t.Entries[0].From <= from
}

// VersionAfter returns the version that the change of Entries[i] made. current is
// the version of the object that contains the trail.
func (t Trail) VersionAfter(i int, current uint64) uint64 {
	if i+1 < len(t.Entries) {
		return t.Entries[i+1].From
	}
	return current
}

// Verify checks the hash chain and the order of versions. It detects damage, and
// entries that were removed or changed without a new hash. Whoever can write the
// object can also write a new trail with valid hashes; only Continues, with an
// earlier copy of the trail, detects that.
func (t Trail) Verify() error {
	hash := t.Older.Hash
	for i, e := range t.Entries {
		if i > 0 && e.From <= t.Entries[i-1].From {
			return Error.New("entry %d replaces version %d, not after %d", i, e.From, t.Entries[i-1].From)
		}
		hash = e.chainHash(hash)
	}
	if hash != t.Head {
		return Error.New("chained hash is %s, the trail's head says %s", hash, t.Head)
	}
	return nil
}

// Continues checks that t contains all entries of an earlier trail of the same
// object: the chained hash of t's first entries, as many as earlier has, must be
// earlier's Head. If some of t's summarized entries are newer than earlier, that
// hash can't be computed and Continues returns an error.
func (t Trail) Continues(earlier Trail) error {
	if t.Len() < earlier.Len() {
		return Error.New("%d entries where there were %d", t.Len(), earlier.Len())
	}
	if earlier.Len() < t.Older.Count {
		return Error.New("entries up to number %d are no longer kept", t.Older.Count)
	}
	hash := t.Older.Hash
	for _, e := range t.Entries[:earlier.Len()-t.Older.Count] {
		hash = e.chainHash(hash)
	}
	if hash != earlier.Head {
		return Error.New("history was rewritten at or before entry %d", earlier.Len())
	}
	return nil
}
