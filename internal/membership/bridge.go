package membership

import "slices"

// randomTargetEvery is the number of rounds in one of which a bridge probes any
// daemon of a region instead of one of its bridges: after a long partition all
// bridges in its table may be gone.
const randomTargetEvery = 4

// tickRegions marks the view as stale when the set of unreachable regions has
// changed. A bridge also increments its region's heartbeat and probes the other
// regions.
func (m *Membership) tickRegions() {
	unreachable := m.regions.unreachable(m.clock.now, m.cfg.RegionTimeout)
	if !slices.Equal(unreachable, m.view.unreachableRegions) {
		m.dirty = true
	}
	if !m.regions.isBridge || m.clock.now < m.regions.nextHeartbeat {
		return
	}
	m.regions.nextHeartbeat = m.clock.now + m.cfg.BridgeInterval
	m.regions.rounds++
	for _, x := range m.regions.list {
		if x.name == m.regions.own {
			x.heartbeat++
			x.heartbeatAt = m.clock.now
			continue
		}
		if n := m.bridgeTarget(x); n != nil {
			m.ping(n, m.nextSequence())
		}
	}
}

// bridgeTarget returns the daemon of a region to probe, or nil if there is none.
func (m *Membership) bridgeTarget(x *region) *node {
	if len(x.bridges) > 0 && m.regions.rounds%randomTargetEvery != 0 {
		return x.bridges[m.rng.IntN(len(x.bridges))]
	}
	var chosen *node
	seen := 0
	for _, n := range m.sorted {
		if n.record.Region != x.name || n.state.Terminal() {
			continue
		}
		seen++
		if m.rng.IntN(seen) == 0 {
			chosen = n
		}
	}
	return chosen
}
