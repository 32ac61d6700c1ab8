package membership

import "time"

// isolationTimeout is how long a daemon that receives no packets only suspects
// its peers. After that it declares them Dead: by then they are likely gone.
const isolationTimeout = time.Minute

// isolation is a period in which no packets are received from other daemons.
type isolation struct {
	active bool
	since  time.Duration
}

// suspectProvisionally suspects a member that did not answer while no packets
// were received from any daemon. Most likely this daemon itself is isolated, and
// if it sent its suspicions after reconnecting, all the others would have to
// refute them. Provisional states are therefore not sent, and the first packet
// from another daemon reverts them.
func (m *Membership) suspectProvisionally(n *node) {
	if !m.isolation.active {
		m.isolation = isolation{active: true, since: m.clock.now}
	}
	m.setProvisionally(n, n.state.suspected())
}

func (m *Membership) setProvisionally(n *node, s State) {
	if !n.provisional {
		n.provisional = true
		n.priorState = n.state
	}
	m.setState(n, s, n.incarnation, false)
}

// tickIsolation declares the suspects Dead after isolationTimeout.
func (m *Membership) tickIsolation() {
	if !m.isolation.active || m.clock.now < m.isolation.since+isolationTimeout {
		return
	}
	for _, n := range m.sorted {
		if n.state.IsSuspect() {
			m.setProvisionally(n, Dead)
		}
	}
}

// endIsolation reverts provisional states and restarts the deadlines of the
// other suspects.
func (m *Membership) endIsolation() {
	if !m.isolation.active {
		return
	}
	m.isolation.active = false
	for _, n := range m.sorted {
		if n.provisional {
			n.provisional = false
			m.setState(n, n.priorState.cleared(), n.incarnation, false)
			m.addToRound(n)
		}
	}
	for _, n := range m.suspects {
		n.deadline = m.clock.now + m.suspicionTimeout()
	}
}
