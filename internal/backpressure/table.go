package backpressure

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

const (
	// renewal is how much later a repeated statement must be to be passed on to other
	// daemons.
	renewal = 2 * time.Second
	// clockTolerance is how much later a repeated statement of another daemon must be to
	// count as a new one: the daemons' estimates of the fleet's time differ by less.
	clockTolerance = 250 * time.Millisecond
	// endRetention is how long the end of a limit is kept for the other daemons.
	endRetention = 20 * time.Second
	// unlistedRetention is how long a statement about an endpoint that isn't listed is kept.
	unlistedRetention = 20 * time.Second
	// maxStatements bounds the table.
	maxStatements = 8192
)

// Position says which statements of a table a reader has received: all up to number Seq
// in the process run identified by Epoch.
type Position struct{ Epoch, Seq uint64 }

// Table holds the newest statement about each endpoint with a rate limit. It is not safe
// for concurrent use.
type Table struct {
	epoch   uint64
	seq     uint64
	entries map[rendezvous.ShortKey]*entry
}

// entry is a statement with the number of its last change and the time that it had then.
type entry struct {
	Statement
	changed uint64
	told    time.Time
}

// NewTable returns an empty table. epoch identifies the run of the process and must
// differ from those of earlier runs.
func NewTable(epoch uint64) *Table {
	return &Table{epoch: epoch, entries: map[rendezvous.ShortKey]*entry{}}
}

// Observe records the rate limit that an answer to a request sent at some time states or
// doesn't state. It reports whether the endpoint's limit changed.
func (t *Table) Observe(now, sent time.Time, endpoint rendezvous.ShortKey, startedAt time.Time, l Limit) bool {
	old := t.entries[endpoint]
	next := Statement{Endpoint: endpoint, StartedAt: startedAt, InForce: l.Presence == Valid, PerSecond: l.PerSecond, At: now}
	switch {
	case l.Presence == Invalid:
		return false
	case old != nil && old.Leaving && old.sameRun(&next):
		return false
	case old != nil && old.StartedAt.After(startedAt):
		return false // a late answer of an earlier run
	case l.Presence == Absent && (old == nil || !old.InForce):
		return false
	case l.Presence == Absent && old.sameRun(&next) && !sent.After(old.At):
		return false // the answer may be older than the limit
	}
	changed := old == nil || !old.sameRun(&next) || !old.sameLimit(&next)
	t.put(old, next)
	return changed
}

// ObserveLeaving records that an answer of a run of an endpoint says that it leaves. It reports
// whether that is new.
func (t *Table) ObserveLeaving(now time.Time, endpoint rendezvous.ShortKey, startedAt time.Time) bool {
	old := t.entries[endpoint]
	next := Statement{Endpoint: endpoint, StartedAt: startedAt, Leaving: true, At: now}
	if old != nil && (old.StartedAt.After(startedAt) || old.sameRun(&next) && old.Leaving) {
		return false
	}
	t.put(old, next)
	return true
}

// Leaving calls f with the statements of runs that leave.
func (t *Table) Leaving(f func(*Statement)) {
	for _, e := range t.entries {
		if e.Leaving {
			f(&e.Statement)
		}
	}
}

// Merge takes the statements of another daemon and reports whether any changed a limit.
func (t *Table) Merge(all []Statement) bool {
	changed := false
	for _, s := range all {
		changed = t.mergeOne(s) || changed
	}
	return changed
}

func (t *Table) mergeOne(s Statement) bool {
	old := t.entries[s.Endpoint]
	if old == nil {
		if len(t.entries) >= maxStatements {
			return false
		}
		t.put(nil, s)
		return true
	}
	if !old.sameRun(&s) {
		if s.StartedAt.Before(old.StartedAt) {
			return false
		}
		t.put(old, s)
		return true
	}
	if old.Leaving || s.Leaving {
		if !old.Leaving {
			t.put(old, s)
		}
		return !old.Leaving
	}
	same := old.sameLimit(&s)
	if same && s.At.Sub(old.At) <= clockTolerance || !s.At.After(old.At) {
		return false
	}
	t.put(old, s)
	return !same
}

// put stores a statement in place of an endpoint's old one, nil if it has none.
func (t *Table) put(old *entry, s Statement) {
	if old != nil && old.sameRun(&s) && old.sameLimit(&s) && s.At.Sub(old.told) < renewal {
		old.At = s.At
		return
	}
	t.seq++
	t.entries[s.Endpoint] = &entry{Statement: s, changed: t.seq, told: s.At}
}

// Since returns the statements that a reader at a position lacks, and its position with
// them.
func (t *Table) Since(p Position) ([]Statement, Position) {
	var out []Statement
	for _, e := range t.entries {
		if p.Epoch != t.epoch || e.changed > p.Seq {
			out = append(out, e.Statement)
		}
	}
	return out, Position{Epoch: t.epoch, Seq: t.seq}
}

// InForce calls f with each statement in force.
func (t *Table) InForce(f func(*Statement)) {
	for _, e := range t.entries {
		if e.InForce {
			f(&e.Statement)
		}
	}
}

// Prune removes ended limits, and those of endpoints that aren't listed, after a while.
func (t *Table) Prune(now time.Time, listed func(rendezvous.ShortKey) bool) {
	for key, e := range t.entries {
		age := now.Sub(e.At)
		if !e.InForce && !e.Leaving && age > endRetention || age > unlistedRetention && !listed(key) {
			delete(t.entries, key)
		}
	}
}
