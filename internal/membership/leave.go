package membership

import "time"

// farewellFanout is how many peers are told at once of leaving; from them it
// spreads as any update does. Six of them are lost together only where this
// daemon's own network is down.
const farewellFanout = 6

// Leave says that this daemon takes no new work. It goes on answering.
func (m *Membership) Leave(now time.Time) []Action {
	m.clock.advance(now)
	if m.self.state == Alive {
		m.farewell(Leaving)
	}
	return m.take()
}

// Depart says that this daemon is gone. It answers nothing afterwards.
func (m *Membership) Depart(now time.Time) []Action {
	m.clock.advance(now)
	if m.self.state != Left {
		m.farewell(Left)
	}
	return m.take()
}

func (m *Membership) farewell(s State) {
	m.set(m.self, s, m.self.incarnation+1, true)
	m.rebuildView()
	m.act(Changed{View: m.view})
	for _, n := range m.farewellPeers() {
		m.gossip(n.record.Peer, n)
	}
}

// farewellPeers chooses peers of the region at random.
func (m *Membership) farewellPeers() []*node {
	var peers []*node
	for range 4 * farewellFanout {
		n := m.prober.random(m.rng)
		if n == nil || len(peers) == farewellFanout {
			break
		}
		if !contains(peers, n) {
			peers = append(peers, n)
		}
	}
	return peers
}
