package membership

import (
	"math"
	"time"
)

// forgetInterval is the time between two searches for members to forget; a
// minute more or less does not matter to a Retention of hours.
const forgetInterval = time.Minute

// Tick does what is due. It should be called every 100 ms; the protocol's own
// time advances by at most half a ProbeInterval for each call.
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
	m.tickDataCentres()
	m.tickRegions()
	m.tickSync()
	m.tickSeeds()
	m.tickGossip()
	m.tickForget()
	m.tickView()
	return m.take()
}

// suspicionTimeout is how long a suspect has to refute.
func (m *Membership) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(m.regionSize)))
	base := time.Duration(float64(m.cfg.SuspicionMultiplier) * scale * float64(m.cfg.ProbeInterval))
	return m.health.scale(base)
}

func (m *Membership) tickSuspects() {
	kept := m.suspect[:0]
	for _, n := range m.suspect {
		if !n.state.IsSuspect() {
			continue
		}
		if m.isolated || n.dc.lost() || n.dc.verifying() || m.clock.now < n.deadline {
			kept = append(kept, n)
			continue
		}
		m.set(n, Dead, n.incarnation, true)
	}
	m.suspect = kept
}

// startSuspicion gives a suspect its deadline.
func (m *Membership) startSuspicion(n *node) {
	n.deadline = m.clock.now + m.suspicionTimeout()
	m.suspect = append(m.suspect, n)
	m.checkLoss(n.dc)
}

// tickGossip sends updates alone while there are any, so that they spread
// faster than by probes.
func (m *Membership) tickGossip() {
	if m.clock.now < m.nextGossip {
		return
	}
	m.nextGossip = m.clock.now + m.cfg.GossipInterval
	if m.rumours.empty() || m.isBulk() || !m.rumourBudget.left() {
		return
	}
	if n := m.prober.random(m.rng); n != nil {
		m.gossip(n.record.Peer, n)
	}
}

// tickForget drops members that have been gone for Retention.
func (m *Membership) tickForget() {
	if m.clock.now < m.nextForget {
		return
	}
	m.nextForget = m.clock.now + forgetInterval
	kept := m.sorted[:0]
	for _, n := range m.sorted {
		if n.state.Terminal() && n != m.self && m.clock.now-n.failedAt > m.cfg.Retention {
			delete(m.nodes, n.instance)
			m.dirty = true
			continue
		}
		kept = append(kept, n)
	}
	clear(m.sorted[len(kept):])
	m.sorted = kept
}
