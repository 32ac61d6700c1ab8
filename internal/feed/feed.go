// Package feed passes a changing set of named values on to others that know an
// earlier state of it: what changed since then, or all of it. It is plain
// state and not safe for concurrent use.
package feed

import (
	"bytes"
	"maps"
	"math"
	"slices"
)

// kept is the number of removals that are remembered. Whoever asks four times
// a second misses a removal only after many seconds of silence, and is given
// everything then.
const kept = 1024

// Position says which state somebody knows. The zero value knows nothing.
type Position struct {
	Epoch uint64 // of the log
	Seq   uint64 // of its last change
}

// Unwanted is the position of who wants no update.
var Unwanted = Position{Epoch: math.MaxUint64}

// Item is a value under its name.
type Item struct {
	Name string
	Spec []byte
}

// Update leads from a position to a newer one.
type Update struct {
	To Position
	// Full says that Items is all there is.
	Full    bool
	Items   []Item
	Removed []string
}

// Empty reports whether an update changes nothing.
func (u *Update) Empty() bool { return !u.Full && len(u.Items) == 0 && len(u.Removed) == 0 }

// Log is the set with its recent changes.
type Log struct {
	at      Position
	items   map[string]entry
	removed []removal // oldest first
	oldest  uint64    // changes up to here may be missing in removed
}

type entry struct {
	seq  uint64
	spec []byte
}

type removal struct {
	seq  uint64
	name string
}

// NewLog returns an empty log. Two logs must have different epochs, not 0.
func NewLog(epoch uint64) *Log {
	return &Log{at: Position{Epoch: epoch}, items: map[string]entry{}}
}

// Set makes the set equal to items; what doesn't differ is no change.
func (l *Log) Set(items []Item) {
	there := make(map[string]bool, len(items))
	for _, it := range items {
		there[it.Name] = true
		if old, ok := l.items[it.Name]; !ok || !bytes.Equal(old.spec, it.Spec) {
			l.at.Seq++
			l.items[it.Name] = entry{seq: l.at.Seq, spec: it.Spec}
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

// Since returns what leads from a position to the newest.
func (l *Log) Since(p Position) Update {
	if p == Unwanted {
		return Update{}
	}
	u := Update{To: l.at}
	u.Full = p.Epoch != l.at.Epoch || p.Seq < l.oldest || p.Seq > l.at.Seq
	for _, name := range slices.Sorted(maps.Keys(l.items)) {
		if e := l.items[name]; u.Full || e.seq > p.Seq {
			u.Items = append(u.Items, Item{Name: name, Spec: e.spec})
		}
	}
	for _, r := range l.removed {
		if _, back := l.items[r.name]; !u.Full && r.seq > p.Seq && !back {
			u.Removed = append(u.Removed, r.name)
		}
	}
	return u
}
