package daemon

import (
	"github.com/cyclamenbeam/cyclamenbeam/internal/drain"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

// watchAllUpTo is the fleet's size up to which every daemon watches templates:
// each change then costs the store as few calls as two rounds of watchers.
const watchAllUpTo = 2 * template.Watchers

// allKinds are followed by one watch: each waiting watch counts as a call.
var allKinds = []string{template.Kind, drain.Kind}

// drainKinds are what a daemon watches that has the templates from peers. Peers
// don't pass on the wishes about endpoints.
var drainKinds = []string{drain.Kind}

// watchedKinds returns what a daemon's one watch follows.
//
// Each change of a template wakes the watches of all daemons, and the store sends the whole
// object with its audit trail to each: at 340 daemons a day's 3,700 changes are 1.3 million
// reads and, at 100 KB, 126 GB. So a few daemons watch, and the others learn of a new version
// by their digests.
func watchedKinds(self fleet.DaemonID, alive []fleet.DaemonID) []string {
	if len(alive) <= watchAllUpTo || template.IsWatcher(self, alive) {
		return allKinds
	}
	return drainKinds
}
