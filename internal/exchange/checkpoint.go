package exchange

import (
	"maps"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Checkpoint is the requests started at each daemon in the newest usage windows, by
// daemon and number of the window. It is saved in the store, since the state in the hubs
// is lost if the whole fleet is killed at once.
type Checkpoint map[fleet.DaemonID]map[uint64]RequestCounts

// Checkpoint returns the requests started in a window and those after it.
func (h *Hub) Checkpoint(from uint64) Checkpoint {
	out := Checkpoint{}
	for id, d := range h.daemons {
		windows := maps.Clone(d.report.Windows)
		maps.DeleteFunc(windows, func(w uint64, _ RequestCounts) bool { return w < from })
		if len(windows) > 0 {
			out[id] = windows
		}
	}
	return out
}

// restoredAge is the age given to restored reports, above staleAfter: their loads don't
// count.
const restoredAge = 10 * time.Second

// Restore adds the windows of daemons that this hub has no report from. If such a daemon
// is still alive, its next report replaces the restored windows.
func (h *Hub) Restore(now time.Time, c Checkpoint) {
	for id, windows := range c {
		if h.daemons[id] == nil {
			h.daemons[id] = &daemonState{report: Report{Daemon: id, Windows: windows}, receivedAt: now.Add(-restoredAge), restored: true}
		}
	}
	h.loadTotal = nil
}
