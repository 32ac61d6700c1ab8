package request

import (
	"iter"
	"time"
)

// TableLimits are the limits of a Table.
type TableLimits struct {
	Live      int           // running requests
	Bytes     int           // memory of finished requests
	Retention time.Duration // of finished requests
}

// DefaultTableLimits suits an entry instance. Finished answers are kept, in a
// third of its memory, for callers that lost their connection and reconnect.
func DefaultTableLimits() TableLimits {
	return TableLimits{Live: 4096, Bytes: 64 << 20, Retention: 2 * time.Minute}
}

// entryBytes is the estimated memory of an entry without its answer.
const entryBytes = 512

// Table holds the live requests of a daemon and, for a limited time and in limited
// memory, the finished ones.
type Table struct {
	limits  TableLimits
	entries map[Ref]*Entry
	live    int
	bytes   int    // of finished entries
	oldest  *Entry // finished entries, oldest first
	newest  *Entry
}

// NewTable returns an empty table.
func NewTable(limits TableLimits) *Table {
	return &Table{limits: limits, entries: make(map[Ref]*Entry)}
}

// Begin returns the entry of request ref, or adds one with lifecycle. The entry is
// nil if the result is Full.
func (t *Table) Begin(now time.Time, ref Ref, d Digest, lifecycle *Lifecycle) (*Entry, BeginResult) {
	t.Expire(now)
	if e := t.entries[ref]; e != nil {
		if e.Digest != d {
			return e, Conflict
		}
		return e, Attached
	}
	if t.live >= t.limits.Live {
		return nil, Full
	}
	e := &Entry{Ref: ref, Digest: d, Lifecycle: lifecycle}
	t.entries[ref] = e
	t.live++
	return e, Created
}

// Get returns the entry of ref, or nil if there is none.
func (t *Table) Get(ref Ref) *Entry { return t.entries[ref] }

// Finish marks ref as finished, and drops the oldest finished requests that exceed
// the limits.
func (t *Table) Finish(now time.Time, ref Ref) {
	e := t.entries[ref]
	if e == nil || e.Finished() {
		return
	}
	e.finishedAt = now
	e.bytes = entryBytes
	if e.Lifecycle != nil {
		e.bytes += e.Lifecycle.Answer().Bytes()
	}
	t.live--
	t.bytes += e.bytes
	t.push(e)
	t.Expire(now)
}

// Remove removes a live request that was handed over or refused.
func (t *Table) Remove(ref Ref) {
	e := t.entries[ref]
	if e == nil || e.Finished() {
		return
	}
	delete(t.entries, ref)
	t.live--
}

// Expire drops finished requests that exceed the limits, and returns how many.
func (t *Table) Expire(now time.Time) int {
	dropped := 0
	for t.oldest != nil && t.overLimits(now) {
		e := t.oldest
		t.oldest = e.newer
		if t.oldest == nil {
			t.newest = nil
		}
		t.bytes -= e.bytes
		delete(t.entries, e.Ref)
		dropped++
	}
	return dropped
}

func (t *Table) overLimits(now time.Time) bool {
	return t.bytes > t.limits.Bytes || now.Sub(t.oldest.finishedAt) >= t.limits.Retention
}

func (t *Table) push(e *Entry) {
	if t.newest == nil {
		t.oldest = e
	} else {
		t.newest.newer = e
	}
	t.newest = e
}

// Live returns the number of live requests.
func (t *Table) Live() int { return t.live }

// Len returns the number of requests, live and finished.
func (t *Table) Len() int { return len(t.entries) }

// Bytes returns the estimated memory of the finished requests.
func (t *Table) Bytes() int { return t.bytes }

// Running yields the live requests in no particular order.
func (t *Table) Running() iter.Seq[*Entry] {
	return func(yield func(*Entry) bool) {
		for _, e := range t.entries {
			if !e.Finished() && !yield(e) {
				return
			}
		}
	}
}
