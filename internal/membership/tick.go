package membership

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// expireInterval is the time between two searches for members to forget; a
// minute more or less does not matter to a Retention of hours.
const expireInterval = time.Minute

// Tick does what is due. It should be called every 100 ms; the protocol's own
// time advances by at most half a ProbeInterval for each call, or two ticks.
func (m *Membership) Tick(now time.Time) []Action {
	m.clock.advance(now)
	if m.self.state == Left {
		return m.takeActions()
	}
	m.updateBudget.refill(m.clock.now)
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
	m.tickExpire()
	m.tickView()
	return m.takeActions()
}

// tickGossip sends updates alone while there are any, so that they spread
// faster than by probes.
func (m *Membership) tickGossip() {
	if m.clock.now < m.nextGossip {
		return
	}
	m.nextGossip = m.clock.now + m.cfg.GossipInterval
	if m.updates.empty() || !m.updateBudget.available() {
		return
	}
	if n := m.prober.randomPeer(m.rng); n != nil {
		m.sendGossip(n.record.Peer, n)
	}
}

// tickExpire drops members that have been gone for Retention, alone or with
// their whole region.
func (m *Membership) tickExpire() {
	if m.clock.now < m.nextExpire {
		return
	}
	m.nextExpire = m.clock.now + expireInterval
	kept := m.sorted[:0]
	for _, n := range m.sorted {
		if n == m.self || !m.isExpired(n) {
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

func (m *Membership) isExpired(n *node) bool {
	if n.state.Terminal() {
		return m.clock.now-n.failedAt > m.cfg.Retention
	}
	return m.isRegionExpired(n.record.Region)
}

// isRegionExpired reports whether a region has been silent for so long that its
// members are not worth knowing.
func (m *Membership) isRegionExpired(name fleet.Region) bool {
	x := m.regions.getOrAdd(name, m.clock.now)
	return x.name != m.regions.own && m.clock.now-x.heartbeatAt > m.cfg.Retention
}
