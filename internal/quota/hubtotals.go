package quota

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

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
func (s *HubTotals) Add(hub string, totals map[fleet.WorkspaceID]float64, whole bool) map[fleet.WorkspaceID]float64 {
	known := s.hubs[hub]
	if known == nil {
		known = map[fleet.WorkspaceID]rebasedTotal{}
		s.hubs[hub] = known
	}
	added := map[fleet.WorkspaceID]float64{}
	for w, total := range totals {
		t, ok := known[w]
		if total < t.last || !ok && !whole {
			t.base = total - s.applied[w]
		}
		t.last = total
		known[w] = t
		if now := total - t.base; now > s.applied[w] {
			added[w] = now - s.applied[w]
			s.applied[w] = now
		}
	}
	return added
}

// Empty reports whether no hub is known.
func (s *HubTotals) Empty() bool { return len(s.hubs) == 0 }

// Keep forgets all hubs that are not listed.
func (s *HubTotals) Keep(hubs []string) {
	for name := range s.hubs {
		keep := false
		for _, h := range hubs {
			keep = keep || h == name
		}
		if !keep {
			delete(s.hubs, name)
		}
	}
}
