package instancelist

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
)

const (
	// maxLag bounds how far back the past is kept.
	maxLag = 10 * time.Minute
	// maxSnapshots bounds the memory of the past where changes are frequent.
	maxSnapshots = 4096
)

// snapshot is the truth from a moment on. It is never changed.
type snapshot struct {
	from time.Time
	list listapi.List
}

// history is the past truth, oldest first.
type history struct {
	snapshots []snapshot
}

func (h *history) add(now time.Time, list listapi.List) {
	h.snapshots = append(h.snapshots, snapshot{from: now, list: list})
	drop := max(0, len(h.snapshots)-maxSnapshots)
	for len(h.snapshots)-drop > 1 && now.Sub(h.snapshots[drop+1].from) > maxLag {
		drop++
	}
	h.snapshots = slices.Delete(h.snapshots, 0, drop)
}

// at returns the truth at a moment; before the first change, the first truth.
func (h *history) at(moment time.Time) listapi.List {
	if len(h.snapshots) == 0 {
		return listapi.List{}
	}
	for _, s := range slices.Backward(h.snapshots) {
		if !s.from.After(moment) {
			return s.list
		}
	}
	return h.snapshots[0].list
}
