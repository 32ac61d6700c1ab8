// Package feed replicates a changing set of named values to readers that have an earlier
// state of it: a reader gets the changes since that state, or the whole set. Its types
// are plain state, not safe for concurrent use.
package feed

import (
	"bytes"
	"maps"
	"math"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// maxRemovals is the most removals that a Log stores. A reader that is further behind gets
// the whole set, or the keys of all names. One that asks four times a second is that far
// behind only after many seconds without an answer.
const maxRemovals = 1024

// Position identifies the state that a reader has. The zero value is that of a reader
// without any.
type Position struct {
	Epoch uint64 // identifies the log
	Seq   uint64 // the log's last change in the state
	// Revision is the revision of the source up to which the state is complete, 0 if
	// unknown. It is valid for all logs of the same source, Epoch and Seq for one only.
	Revision uint64
}

// NoUpdate is the position of a reader that wants no update.
var NoUpdate = Position{Epoch: math.MaxUint64}

// Item is a named value.
type Item struct {
	Name string
	Spec []byte
	// Revision is the revision of the source at which the value was set, 0 if unknown.
	Revision uint64
}

// Update is the difference between a reader's position and a newer one.
type Update struct {
	To Position
	// Full means that Items is the whole set.
	Full    bool
	Items   []Item
	Removed []string
	// Keys, unless empty, are the short keys of all names in the set: the reader must
	// remove a name whose key is missing.
	Keys []rendezvous.ShortKey
}

// Empty reports whether the update changes nothing.
func (u *Update) Empty() bool {
	return !u.Full && len(u.Items) == 0 && len(u.Removed) == 0 && len(u.Keys) == 0
}

// Log is the set together with its recent changes.
type Log struct {
	position   Position
	items      map[string]entry
	removed    []removal // oldest first
	trimmedSeq uint64    // sequence number up to which removed may be incomplete
}

type entry struct {
	seq      uint64
	revision uint64
	spec     []byte
}

type removal struct {
	seq  uint64
	name string
}

// NewLog returns an empty log. Its epoch must not be 0 and must differ from those of all
// other logs.
func NewLog(epoch uint64) *Log {
	return &Log{position: Position{Epoch: epoch}, items: map[string]entry{}}
}

// Set replaces the set by items, which are complete up to a revision of the source. An
// item with the same value as before doesn't count as a change.
func (l *Log) Set(revision uint64, items []Item) {
	l.position.Revision = revision
	present := make(map[string]bool, len(items))
	for _, it := range items {
		present[it.Name] = true
		if old, ok := l.items[it.Name]; !ok || !bytes.Equal(old.spec, it.Spec) {
			l.position.Seq++
			l.items[it.Name] = entry{seq: l.position.Seq, revision: it.Revision, spec: it.Spec}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.items)) {
		if !present[name] {
			l.position.Seq++
			delete(l.items, name)
			l.removed = append(l.removed, removal{l.position.Seq, name})
		}
	}
	if n := len(l.removed) - maxRemovals; n > 0 {
		l.trimmedSeq = l.removed[n-1].seq
		l.removed = slices.Delete(l.removed, 0, n)
	}
}

// Since returns the update from a position to the newest one. A reader that switches to
// another log, since its own is gone or late, gets the items that are newer than its
// revision and the keys of all names: 4 bytes for each item that it has, instead of some
// 250 for sending it again. If hundreds of readers that switch at once got the whole set
// each, the network links of the logs would be saturated for seconds, and answers would
// time out and be requested again.
func (l *Log) Since(p Position) Update {
	switch {
	case p == NoUpdate:
		return Update{}
	case p.Epoch == l.position.Epoch && p.Seq >= l.trimmedSeq && p.Seq <= l.position.Seq:
		return l.afterSeq(p.Seq)
	case p.Revision > 0 && len(l.items) > 0:
		return l.afterRevision(p.Revision)
	default:
		u := l.afterRevision(0)
		u.Full, u.Keys = true, nil
		return u
	}
}

// afterSeq returns the changes of this log after a sequence number.
func (l *Log) afterSeq(seq uint64) Update {
	u := Update{To: l.position}
	for _, name := range slices.Sorted(maps.Keys(l.items)) {
		if e := l.items[name]; e.seq > seq {
			u.Items = append(u.Items, Item{Name: name, Spec: e.spec, Revision: e.revision})
		}
	}
	for _, r := range l.removed {
		if _, present := l.items[r.name]; r.seq > seq && !present {
			u.Removed = append(u.Removed, r.name)
		}
	}
	return u
}

// afterRevision returns the items set after a revision of the source, and the keys of all
// names.
func (l *Log) afterRevision(revision uint64) Update {
	u := Update{To: l.position, Keys: make([]rendezvous.ShortKey, 0, len(l.items))}
	for _, name := range slices.Sorted(maps.Keys(l.items)) {
		e := l.items[name]
		u.Keys = append(u.Keys, rendezvous.ShortKeyOf(name))
		if e.revision > revision || e.revision == 0 {
			u.Items = append(u.Items, Item{Name: name, Spec: e.spec, Revision: e.revision})
		}
	}
	return u
}
