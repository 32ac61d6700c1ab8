package origin

import "time"

// Retention is how long an origin is kept after it was last recorded. It is longer than
// callers wait for a stream.
const Retention = 20 * time.Second

// maxOrigins bounds a table: beyond it, the oldest origins are dropped.
const maxOrigins = 1 << 16

// Table holds the origins of streams. It is not safe for concurrent use.
type Table struct {
	entries map[Key]entry
	queue   []queued // in the order of their times
}

// entry is an origin; contradicted says that two different ones were recorded, or that the
// origin was revoked, so that it isn't known.
type entry struct {
	origin       Origin
	at           time.Time
	contradicted bool
}

// queued is when an entry was recorded. If it was recorded again later, another one follows.
type queued struct {
	key Key
	at  time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[Key]entry{}} }

// Put records the origin of a stream.
func (t *Table) Put(now time.Time, k Key, o Origin) {
	old, known := t.entries[k]
	t.put(now, k, entry{origin: o, contradicted: known && (old.contradicted || old.origin != o)})
}

// Revoke records that the origin of a stream isn't known.
func (t *Table) Revoke(now time.Time, k Key) { t.put(now, k, entry{contradicted: true}) }

func (t *Table) put(now time.Time, k Key, e entry) {
	e.at = now
	t.entries[k] = e
	t.queue = append(t.queue, queued{k, now})
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

// Has reports whether anything was recorded of a stream.
func (t *Table) Has(k Key) bool {
	_, ok := t.entries[k]
	return ok
}

// Len returns the number of streams.
func (t *Table) Len() int { return len(t.entries) }

// Expire drops the origins that weren't recorded for Retention.
func (t *Table) Expire(now time.Time) {
	n := 0
	for n < len(t.queue) && (now.Sub(t.queue[n].at) > Retention || len(t.entries) > maxOrigins) {
		q := t.queue[n]
		if t.entries[q.key].at.Equal(q.at) {
			delete(t.entries, q.key)
		}
		n++
	}
	t.queue = t.queue[n:]
}
