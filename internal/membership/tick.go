package membership

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// expireInterval is the time between two searches for expired members. A minute
// does not matter with a Retention of hours.
const expireInterval = time.Minute

// Tick does what is due. It should be called every 100 ms. The protocol's clock
// advances per call by at most half a ProbeInterval or 200 ms, whichever is more.
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

// tickGossip sends queued updates in Gossip packets, so that they spread faster
// than on probes alone.
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

// tickExpire removes members that have been gone for longer than Retention, or
// whose region has been unreachable for that time.
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

// isRegionExpired reports whether another region has been unreachable for longer
// than Retention.
func (m *Membership) isRegionExpired(name fleet.Region) bool {
	x := m.regions.getOrAdd(name, m.clock.now)
	return x.name != m.regions.own && m.clock.now-x.heartbeatAt > m.cfg.Retention
}
