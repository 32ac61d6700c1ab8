package audit

import "slices"

// MaxKept bounds the entries kept whole. 200 are a week of one template that
// is amended 28 times a day; they take 40 to 50 KB with ordinary texts.
const MaxKept = 200

// MaxKeptBytes bounds the encoding of the entries kept whole. Without it, 200
// long reasons full of characters that JSON escapes take 600 KB, and an object
// near the store's limit could never be changed again.
const MaxKeptBytes = 192 << 10

// Summary stands for the entries that a trail no longer keeps whole.
type Summary struct {
	Count  uint64 `json:"count"`
	Hash   Hash   `json:"hash"`             // chained over all of them
	Newest int64  `json:"newest,omitempty"` // When of the last of them
}

// Trail is the history of one object, oldest first. A trail is a value: Append
// returns a new one and leaves the old as it is.
type Trail struct {
	Older   Summary `json:"older"`
	Entries []Entry `json:"entries"`
	Head    Hash    `json:"head"` // chained over Older and Entries
}

// Append returns the trail with e at its end. Beyond MaxKept and MaxKeptBytes,
// the oldest entries move into the summary.
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

// add adds the entry that follows the summary's own.
func (s Summary) add(e Entry) Summary {
	return Summary{Count: s.Count + 1, Hash: e.chainHash(s.Hash), Newest: e.When}
}

// Len returns how many changes the trail records, kept whole or not.
func (t Trail) Len() uint64 { return t.Older.Count + uint64(len(t.Entries)) }

// Find returns the index in Entries of the change with an operation id, -1
// where no kept entry has it.
func (t Trail) Find(operation string) int {
	return slices.IndexFunc(t.Entries, func(e Entry) bool { return e.Operation == operation })
}

// Covers reports whether a change that replaced version from would still be
// among Entries: the oldest kept replaced an earlier version or the same, or
// nothing was ever left out.
func (t Trail) Covers(from uint64) bool {
	if t.Older.Count == 0 {
		return true
	}
	return len(t.Entries) > 0 && t.Entries[0].From <= from
}

// VersionAfter returns the version that Entries[i] produced. current is the
// version of the object that holds the trail.
func (t Trail) VersionAfter(i int, current uint64) uint64 {
	if i+1 < len(t.Entries) {
		return t.Entries[i+1].From
	}
	return current
}

// Verify checks the chain and the order of versions. It shows damage and
// entries that were lost or changed without their successors; who can write
// the object can write a whole new trail, which only a remembered Head shows.
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

// Continues checks that t holds everything that an earlier trail of the same
// object held: t goes on from earlier's head. Only kept entries can be
// compared; an error says when earlier is too old for that.
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
