package template

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Watchers is how many daemons watch templates in the store. A change is in
// force at the daemon that accepted it at once and goes from digest to digest
// from there; the watch is for changes whose answer was lost. When some
// are lost or cut off, membership drops them and the next ones watch. Were all
// to watch, each change would send the whole object, of which the audit trail
// is the most, to every daemon.
const Watchers = 6

// Watches reports whether self is among the daemons that watch templates.
// Alive may be in any order, with self or without.
func Watches(self fleet.DaemonID, alive []fleet.DaemonID) bool {
	key := rendezvous.Key(Kind)
	own, before := rendezvous.Score(key, string(self)), 0
	for _, d := range alive {
		if d != self && rendezvous.Score(key, string(d)) > own {
			before++
		}
	}
	return before < Watchers
}
