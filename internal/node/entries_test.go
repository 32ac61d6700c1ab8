package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// Guards against answers that list a whole fleet, of which callers use the first.
func TestCallersGetAFewEntriesOfTheirDataCentre(t *testing.T) {
	for _, daemons := range []int{6, 80, 986, 1972} {
		all := fleetView(daemons, 1)
		for _, dc := range []fleet.DataCentre{"dc-0", "dc-5", "elsewhere"} {
			entries := entriesOf(all, dc)
			assert.Equal(t, len(entries), min(daemons, maxEntries))
			near := 0
			for _, e := range entries {
				if e.DataCentre == dc {
					near++
				}
			}
			if dc != "elsewhere" {
				assert.Assert(t, near >= min(daemons/6, maxEntries), "%d of %d daemons", near, daemons)
			}
		}
	}
}

// Guards against callers that close their connections whenever any daemon joins or leaves.
func TestEntriesChangeOnlyByDaemonsThatJoinOrLeave(t *testing.T) {
	all := fleetView(986, 1)
	before := map[fleet.DaemonID]bool{}
	for _, e := range entriesOf(all, "dc-1") {
		before[e.Daemon] = true
	}
	var left []membership.Member
	for _, m := range all {
		if m.Daemon != all[7].Daemon { // of dc-1
			left = append(left, m)
		}
	}
	changed := 0
	for _, e := range entriesOf(left, "dc-1") {
		if !before[e.Daemon] {
			changed++
		}
	}
	assert.Assert(t, changed <= 1)
}
