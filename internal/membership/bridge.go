package membership

import "slices"

// randomTargetEvery is how often a bridge probes any daemon of a region instead of
// one of its bridges: those it knows may all be gone after a long separation.
const randomTargetEvery = 4

// tickRegions raises the own region's beat and probes the other regions, if
// this daemon is a bridge, and notices when a region falls silent.
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

// bridgeTarget chooses whom of a region to probe.
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
