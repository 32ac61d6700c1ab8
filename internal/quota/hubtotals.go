package quota

import (
	"math"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// HubTotals merges the totals of the others' spending that several hubs report, and
// turns them into increments. Each hub's totals have a base of their own. What one hub
// missed before it died another one has, and what several report is counted once.
type HubTotals struct {
	applied map[fleet.WorkspaceID]float64
	hubs    map[string]map[fleet.WorkspaceID]rebasedTotal
}

// rebasedTotal is a hub's last total for a workspace, and its offset from applied.
type rebasedTotal struct{ last, base float64 }

// NewHubTotals returns totals without any hub.
func NewHubTotals() *HubTotals {
	return &HubTotals{applied: map[fleet.WorkspaceID]float64{}, hubs: map[string]map[fleet.WorkspaceID]rebasedTotal{}}
}

// Add takes a hub's totals and returns by how much they exceed what was applied so
// far. A total that decreased means that the hub restarted, and sets a new base. If
// whole is true, a new hub's first totals count in full.
func (h *HubTotals) Add(hub string, totals map[fleet.WorkspaceID]float64, whole bool) map[fleet.WorkspaceID]float64 {
	known := h.hubs[hub]
	if known == nil {
		known = map[fleet.WorkspaceID]rebasedTotal{}
		h.hubs[hub] = known
	}
	added := map[fleet.WorkspaceID]float64{}
	for w, total := range totals {
		t, ok := known[w]
		if total < t.last-spentRounding*math.Abs(t.last) || !ok && !whole {
			t.base = total - h.applied[w]
		}
		t.last = total
		known[w] = t
		if now := total - t.base; now > h.applied[w] {
			added[w] = now - h.applied[w]
			h.applied[w] = now
		}
	}
	return added
}

// spentRounding is the part of a total by which it may decrease without a restart of the hub,
// which subtracts a daemon's own part from a sum that may have fractions.
const spentRounding = 1e-9

// Empty reports whether no hub is known.
func (h *HubTotals) Empty() bool { return len(h.hubs) == 0 }

// Keep forgets all hubs that are not listed.
func (h *HubTotals) Keep(hubs []string) {
	for name := range h.hubs {
		keep := false
		for _, hub := range hubs {
			keep = keep || hub == name
		}
		if !keep {
			delete(h.hubs, name)
		}
	}
}
