package membership

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// forgetInterval is the time between two searches for members to forget; a
// minute more or less does not matter to a Retention of hours.
const forgetInterval = time.Minute

// Tick does what is due. It should be called every 100 ms; the protocol's own
// time advances by at most half a ProbeInterval for each call, or two ticks.
func (m *Membership) Tick(now time.Time) []Action {
	m.clock.advance(now)
	if m.self.state == Left {
		return m.take()
	}
	m.rumourBudget.refill(m.clock.now)
	m.syncBudget.refill(m.clock.now)
	m.tickProbe()
	m.tickRelays()
	m.tickSuspects()
	m.tickIsolation()
	m.tickDataCentres()
	m.tickRegions()
	m.tickSync()
	m.tickSeeds()
	m.tickGossip()
	m.tickForget()
	m.tickView()
	return m.take()
}

// tickGossip sends updates alone while there are any, so that they spread
// faster than by probes.
func (m *Membership) tickGossip() {
	if m.clock.now < m.nextGossip {
		return
	}
	m.nextGossip = m.clock.now + m.cfg.GossipInterval
	if m.rumours.empty() || !m.rumourBudget.left() {
		return
	}
	if n := m.prober.random(m.rng); n != nil {
		m.gossip(n.record.Peer, n)
	}
}

// tickForget drops members that have been gone for Retention, alone or with
// their whole region.
func (m *Membership) tickForget() {
	if m.clock.now < m.nextForget {
		return
	}
	m.nextForget = m.clock.now + forgetInterval
	kept := m.sorted[:0]
	for _, n := range m.sorted {
		if n == m.self || !m.isForgettable(n) {
			kept = append(kept, n)
			continue
		}
		m.buckets.toggle(n.instance, n.hash)
		delete(m.nodes, n.instance)
		m.dirty = true
	}
	clear(m.sorted[len(kept):])
	m.sorted = kept
}

func (m *Membership) isForgettable(n *node) bool {
	if n.state.Terminal() {
		return m.clock.now-n.failedAt > m.cfg.Retention
	}
	return m.isRegionGone(n.record.Region)
}

// isRegionGone reports whether a region has been silent for so long that its
// members are not worth knowing.
func (m *Membership) isRegionGone(name fleet.Region) bool {
	x := m.regions.touch(name, m.clock.now)
	return x.name != m.regions.own && m.clock.now-x.grewAt > m.cfg.Retention
}
