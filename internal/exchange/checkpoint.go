package exchange

import (
	"maps"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Checkpoint is what began at each daemon in the newest windows, as it is kept
// in the store: a whole fleet can be killed at once, and what its daemons told
// each other is gone with them.
type Checkpoint map[fleet.DaemonID]map[uint64]RequestCounts

// Checkpoint returns what began from a window on.
func (h *Hub) Checkpoint(from uint64) Checkpoint {
	out := Checkpoint{}
	for id, p := range h.daemons {
		windows := maps.Clone(p.report.Windows)
		maps.DeleteFunc(windows, func(w uint64, _ RequestCounts) bool { return w < from })
		if len(windows) > 0 {
			out[id] = windows
		}
	}
	return out
}

// restoredAge makes restored parts older than silence: their loads are over.
const restoredAge = 10 * time.Second

// Restore adds the windows of daemons that this hub hasn't heard of. One that
// lives tells its own part, which then counts alone.
func (h *Hub) Restore(now time.Time, c Checkpoint) {
	for id, windows := range c {
		if h.daemons[id] == nil {
			h.daemons[id] = &daemonState{report: Report{Daemon: id, Windows: windows}, receivedAt: now.Add(-restoredAge), restored: true}
		}
	}
	h.loadTotal = nil
}
