package quota

import "slices"

// hubSum merges totals of one amount that several hubs report, as HubTotals does for the
// spending of all workspaces.
type hubSum struct {
	applied float64
	hubs    map[string]rebasedTotal
}

// add takes a hub's total and returns by how much it exceeds what was applied so far. A
// hub's first total, and one that decreased, sets a base.
func (s *hubSum) add(hub string, total float64) float64 {
	if s.hubs == nil {
		s.hubs = map[string]rebasedTotal{}
	}
	t, ok := s.hubs[hub]
	if !ok || total < t.last-rounding(t.last) {
		t.base = total - s.applied
	}
	t.last = total
	s.hubs[hub] = t
	added := max(total-t.base-s.applied, 0)
	s.applied += added
	return added
}

// rounding returns by how much a hub's total may decrease without a restart of the hub. A hub
// subtracts a daemon's own part from a sum that may have fractions, and cuts off those of a
// number of requests.
func rounding(total float64) float64 { return max(1, 1e-9*total) }

// keep forgets all hubs that are not listed.
func (s *hubSum) keep(hubs []string) {
	for name := range s.hubs {
		if !slices.Contains(hubs, name) {
			delete(s.hubs, name)
		}
	}
}
