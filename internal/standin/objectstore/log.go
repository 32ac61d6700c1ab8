package objectstore

import (
	"sort"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objectapi"
)

// changeLog keeps the newest changes, tombstones among them, oldest first.
type changeLog struct {
	changes    []objectapi.Object
	bytes      int
	maxChanges int
	maxBytes   int
	dropped    uint64 // version of the newest change that was dropped
}

func (l *changeLog) append(o objectapi.Object) {
	l.changes = append(l.changes, o)
	l.bytes += len(o.Value)
	drop := 0
	for len(l.changes)-drop > l.maxChanges || l.bytes > l.maxBytes && len(l.changes)-drop > 1 {
		l.bytes -= len(l.changes[drop].Value)
		l.dropped = l.changes[drop].Version
		l.changes[drop] = objectapi.Object{}
		drop++
	}
	l.changes = l.changes[drop:]
}

// reaches reports whether the log holds every change after since.
func (l *changeLog) reaches(since uint64) bool { return since >= l.dropped }

// after returns up to limit changes of kinds with a version above since, and
// whether more are left.
func (l *changeLog) after(since uint64, kinds map[string]bool, limit int) (found []objectapi.Object, more bool) {
	first := sort.Search(len(l.changes), func(i int) bool { return l.changes[i].Version > since })
	for _, o := range l.changes[first:] {
		if !kinds[o.Kind] {
			continue
		}
		if len(found) == limit {
			return found, true
		}
		found = append(found, o)
	}
	return found, false
}
