package template

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Watchers is the number of daemons that watch templates in the store. A change
// is in force at once at the daemon that accepted it, and other daemons find it
// by that daemon's digest; the watch delivers changes whose response was lost.
// When watchers fail or are partitioned, the membership removes them and others
// take over. If all daemons watched, each change would send the whole object,
// most of it audit trail, to every daemon.
const Watchers = 6

// IsWatcher reports whether self is among the daemons that watch templates.
// Alive may be in any order, and may include self or not.
func IsWatcher(self fleet.DaemonID, alive []fleet.DaemonID) bool {
	key := rendezvous.Key(Kind)
	own, before := rendezvous.Score(key, string(self)), 0
	for _, d := range alive {
		if d != self && rendezvous.Score(key, string(d)) > own {
			before++
		}
	}
	return before < Watchers
}
