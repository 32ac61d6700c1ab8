package membership

import "time"

// announceFanout is how many peers a leaving daemon notifies directly; from them
// the update spreads by gossip. If all six packets are lost, this daemon's own
// network is down.
const announceFanout = 6

// Leave announces that this daemon takes no new work. It continues to answer
// probes.
func (m *Membership) Leave(now time.Time) []Action {
	m.clock.advance(now)
	if m.self.state == Alive {
		m.announceState(Leaving)
	}
	return m.takeActions()
}

// Depart announces that this daemon is gone. Afterwards it answers nothing.
func (m *Membership) Depart(now time.Time) []Action {
	m.clock.advance(now)
	if m.self.state != Left {
		m.announceState(Left)
	}
	return m.takeActions()
}

func (m *Membership) announceState(s State) {
	m.setState(m.self, s, m.self.incarnation+1, true)
	m.rebuildView()
	m.emit(Changed{View: m.view})
	for _, n := range m.announceTargets() {
		m.sendGossip(n.record.Peer, n)
	}
}

// announceTargets returns random peers of the region.
func (m *Membership) announceTargets() []*node {
	var peers []*node
	for range 4 * announceFanout {
		n := m.prober.randomPeer(m.rng)
		if n == nil || len(peers) == announceFanout {
			break
		}
		if !contains(peers, n) {
			peers = append(peers, n)
		}
	}
	return peers
}
