package quota

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// HubTotals turns what several hubs tell of the others' spending into increments.
// Each hub's totals start from a base of their own. What one hub misses in its
// last moments another one has, and what both tell is counted once.
type HubTotals struct {
	applied map[fleet.WorkspaceID]float64
	hubs    map[string]map[fleet.WorkspaceID]rebasedTotal
}

// rebasedTotal is a hub's total for a workspace and its base against applied.
type rebasedTotal struct{ last, base float64 }

// NewHubTotals returns sums that have heard nothing.
func NewHubTotals() *HubTotals {
	return &HubTotals{applied: map[fleet.WorkspaceID]float64{}, hubs: map[string]map[fleet.WorkspaceID]rebasedTotal{}}
}

// Add takes a hub's totals and returns what they add to those known before. A
// total that shrank is a hub's new base. Where whole is true, a hub's first totals
// count whole.
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

// Keep forgets all hubs but some.
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
