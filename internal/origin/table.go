package origin

import (
	"slices"
	"time"
)

// Retention is how long an origin is kept after it was last recorded. It is longer than
// callers wait for a stream.
const Retention = 20 * time.Second

// maxOrigins bounds a table: beyond it, the oldest origins are dropped.
const maxOrigins = 1 << 16

// Table holds the origins of streams. It is not safe for concurrent use.
type Table struct {
	entries map[Key]entry
	queue   []queued // in the order of their times
	puts    uint64
	changes uint64 // of own streams
}

// entry is an origin; contradicted says that two different ones were recorded, or that the
// origin was revoked, so that it isn't known.
type entry struct {
	origin       Origin
	at           time.Time
	put          uint64 // the number of the call that recorded it
	contradicted bool
	own          bool      // of a stream whose origin this daemon stores, see PutOwn
	endedAt      time.Time // when the caller was sent the stream's end, zero before
	restored     bool      // from the store, so that it may have been revoked at other daemons since
}

// queued is when an entry was recorded. If it was recorded again later, another one follows.
type queued struct {
	key Key
	at  time.Time
	put uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Key]entry{}} }

// Put records the origin of a stream, as another daemon has stated it.
func (t *Table) Put(now time.Time, k Key, o Origin) { t.put(now, k, entry{origin: o}) }

// PutOwn records the origin of a stream that this daemon serves, or stores for another one.
func (t *Table) PutOwn(now time.Time, k Key, o Origin) { t.put(now, k, entry{origin: o, own: true}) }

// PutRestored records an origin that was restored from the store, here or at another daemon.
func (t *Table) PutRestored(now time.Time, k Key, o Origin, own bool) {
	t.put(now, k, entry{origin: o, own: own, restored: true})
}

// Revoke records that the origin of a stream isn't known.
func (t *Table) Revoke(now time.Time, k Key) { t.put(now, k, entry{contradicted: true}) }

// RevokeOwn records that the origin of such a stream isn't known.
func (t *Table) RevokeOwn(now time.Time, k Key) {
	t.put(now, k, entry{contradicted: true, own: true})
}

func (t *Table) put(now time.Time, k Key, e entry) {
	old, known := t.entries[k]
	t.puts++
	e.at, e.put = now, t.puts
	e.contradicted = e.contradicted || known && (old.contradicted || old.origin != e.origin)
	if e.own || old.own && e.contradicted != old.contradicted {
		t.changes++
	}
	e.own = e.own || old.own
	e.restored = e.restored && (!known || old.restored)
	t.entries[k] = e
	t.queue = append(t.queue, queued{k, now, e.put})
	t.Expire(now)
}

// Get returns the origin of a stream; known is false if it was not recorded, or contradicted.
func (t *Table) Get(now time.Time, k Key) (o Origin, known bool) {
	e, ok := t.entries[k]
	if !ok || e.contradicted || now.Sub(e.at) > Retention {
		return Origin{}, false
	}
	return e.origin, true
}

// endedRetention is how long the origin of a stream that was passed on to its end is stored still: its
// caller may not have received the end where the daemon is killed just then.
const endedRetention = 2 * time.Second

// Ended records that the caller was sent a stream to its end.
func (t *Table) Ended(now time.Time, k Key) {
	if e, ok := t.entries[k]; ok && e.endedAt.IsZero() {
		e.endedAt = now
		t.entries[k] = e
	}
}

// stored reports whether the origin belongs into the store.
func (e *entry) stored(now time.Time) bool {
	ended := !e.contradicted && !e.endedAt.IsZero() && now.Sub(e.endedAt) > endedRetention
	return e.own && !ended && now.Sub(e.at) <= Retention
}

// Settled reports whether what was recorded of a stream needs no confirmation by other daemons.
func (t *Table) Settled(k Key) bool {
	e, ok := t.entries[k]
	return ok && (e.contradicted || !e.restored)
}

// Contradicted reports whether the origin of a stream is known to be unknown.
func (t *Table) Contradicted(k Key) bool { return t.entries[k].contradicted }

// Has reports whether anything was recorded of a stream.
func (t *Table) Has(k Key) bool {
	_, ok := t.entries[k]
	return ok
}

// Changes counts the changes of own streams.
func (t *Table) Changes() uint64 { return t.changes }

// Own returns the origins of own streams that are to be stored, newest first.
func (t *Table) Own(now time.Time) []StreamOrigin {
	var out []StreamOrigin
	for _, q := range slices.Backward(t.queue) {
		e := t.entries[q.key]
		if e.put == q.put && e.stored(now) {
			out = append(out, StreamOrigin{Key: q.key, Origin: e.origin, Unknown: e.contradicted, Restored: e.restored})
		}
	}
	return out
}

// Len returns the number of streams.
func (t *Table) Len() int { return len(t.entries) }

// Expire drops the origins that weren't recorded for Retention.
func (t *Table) Expire(now time.Time) {
	n := 0
	for n < len(t.queue) && (now.Sub(t.queue[n].at) > Retention || len(t.entries) > maxOrigins) {
		q := t.queue[n]
		if t.entries[q.key].put == q.put {
			delete(t.entries, q.key)
		}
		n++
	}
	t.queue = t.queue[n:]
}
