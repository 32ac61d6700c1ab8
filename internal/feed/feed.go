// Package feed passes a changing set of named values on to others that know an
// earlier state of it: what changed since then, or all of it. It is plain
// state and not safe for concurrent use.
package feed

import (
	"bytes"
	"maps"
	"math"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// kept is the number of removals that are remembered. Whoever asks four times
// a second misses a removal only after many seconds of silence, and is given
// everything then.
const kept = 1024

// Position says which state somebody knows. The zero value knows nothing.
type Position struct {
	Epoch uint64 // of the log
	Seq   uint64 // of its last change
	// Revision is the source's up to which the state is complete. It says
	// something to every log of the same source, Epoch and Seq to one alone.
	Revision uint64
}

// Unwanted is the position of who wants no update.
var Unwanted = Position{Epoch: math.MaxUint64}

// Item is a value under its name.
type Item struct {
	Name string
	Spec []byte
	// Revision is the source's at which the value came.
	Revision uint64
}

// Update leads from a position to a newer one.
type Update struct {
	To Position
	// Full says that Items is all there is.
	Full    bool
	Items   []Item
	Removed []string
	// Keys, where there are any, are those of all names: whatever has another
	// one is gone.
	Keys []rendezvous.Short
}

// Empty reports whether an update changes nothing.
func (u *Update) Empty() bool {
	return !u.Full && len(u.Items) == 0 && len(u.Removed) == 0 && len(u.Keys) == 0
}

// Log is the set with its recent changes.
type Log struct {
	at      Position
	items   map[string]entry
	removed []removal // oldest first
	oldest  uint64    // changes up to here may be missing in removed
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

// NewLog returns an empty log. Two logs must have different epochs, not 0.
func NewLog(epoch uint64) *Log {
	return &Log{at: Position{Epoch: epoch}, items: map[string]entry{}}
}

// Set makes the set equal to items, which are complete up to a revision of the
// source; what doesn't differ is no change.
func (l *Log) Set(revision uint64, items []Item) {
	l.at.Revision = revision
	there := make(map[string]bool, len(items))
	for _, it := range items {
		there[it.Name] = true
		if old, ok := l.items[it.Name]; !ok || !bytes.Equal(old.spec, it.Spec) {
			l.at.Seq++
			l.items[it.Name] = entry{seq: l.at.Seq, revision: it.Revision, spec: it.Spec}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(l.items)) {
		if !there[name] {
			l.at.Seq++
			delete(l.items, name)
			l.removed = append(l.removed, removal{l.at.Seq, name})
		}
	}
	if n := len(l.removed) - kept; n > 0 {
		l.oldest = l.removed[n-1].seq
		l.removed = slices.Delete(l.removed, 0, n)
	}
}

// Since returns what leads from a position to the newest. Failure: a daemon
// follows another log, since the one it followed is gone or late, and is told
// all there is. Symptom: where hundreds of daemons do so at once, the logs'
// links are full for seconds, answers come too late and are asked for again.
// Where the position says up to which of the source's revisions the daemon is
// complete, what came since and the names' keys are enough: 4 bytes for what it
// has, in place of some 250.
func (l *Log) Since(p Position) Update {
	switch {
	case p == Unwanted:
		return Update{}
	case p.Epoch == l.at.Epoch && p.Seq >= l.oldest && p.Seq <= l.at.Seq:
		return l.changes(p.Seq)
	case p.Revision > 0 && len(l.items) > 0:
		return l.newer(p.Revision)
	default:
		u := l.newer(0)
		u.Full, u.Keys = true, nil
		return u
	}
}

// changes returns what changed in this log after one of its changes.
func (l *Log) changes(seq uint64) Update {
	u := Update{To: l.at}
	for _, name := range slices.Sorted(maps.Keys(l.items)) {
		if e := l.items[name]; e.seq > seq {
			u.Items = append(u.Items, Item{Name: name, Spec: e.spec, Revision: e.revision})
		}
	}
	for _, r := range l.removed {
		if _, back := l.items[r.name]; r.seq > seq && !back {
			u.Removed = append(u.Removed, r.name)
		}
	}
	return u
}

// newer returns what came after a revision, and all keys.
func (l *Log) newer(revision uint64) Update {
	u := Update{To: l.at, Keys: make([]rendezvous.Short, 0, len(l.items))}
	for _, name := range slices.Sorted(maps.Keys(l.items)) {
		e := l.items[name]
		u.Keys = append(u.Keys, rendezvous.ShortOf(name))
		if e.revision > revision || e.revision == 0 {
			u.Items = append(u.Items, Item{Name: name, Spec: e.spec, Revision: e.revision})
		}
	}
	return u
}
