package quota

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Sums turns what several hubs tell of the others' spending into increments.
// Each hub's totals start from a base of their own. What one hub misses in its
// last moments another one has, and what both tell is counted once.
type Sums struct {
	applied map[fleet.WorkspaceID]float64
	hubs    map[string]map[fleet.WorkspaceID]hubTotal
}

// hubTotal is a hub's total for a workspace and its base against applied.
type hubTotal struct{ last, base float64 }

// NewSums returns sums that have heard nothing.
func NewSums() *Sums {
	return &Sums{applied: map[fleet.WorkspaceID]float64{}, hubs: map[string]map[fleet.WorkspaceID]hubTotal{}}
}

// Add takes a hub's totals and returns what they add to those known before. A
// total that shrank is a hub's new base. Where whole is true, a hub's first totals
// count whole.
func (s *Sums) Add(hub string, totals map[fleet.WorkspaceID]float64, whole bool) map[fleet.WorkspaceID]float64 {
	known := s.hubs[hub]
	if known == nil {
		known = map[fleet.WorkspaceID]hubTotal{}
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
func (s *Sums) Empty() bool { return len(s.hubs) == 0 }

// Keep forgets all hubs but some.
func (s *Sums) Keep(hubs []string) {
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
