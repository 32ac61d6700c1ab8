package membership

import "time"

// isolationTimeout is how long a daemon that hears nobody only suspects the
// others. After that it is likely enough that they are gone.
const isolationTimeout = time.Minute

// isolation is the time in which nothing at all is heard from others.
type isolation struct {
	active bool
	since  time.Duration
}

// suspectProvisionally marks a member that did not answer while nothing at all was
// heard from others. It is then most likely this daemon that is cut off; its
// suspicions would be wrong for all others, and told on its return they would
// make each of them refute. So nobody is told, and the first packet from anyone
// takes them all back.
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

// tickIsolation holds the suspects for dead when it has lasted.
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

// endIsolation takes quiet judgements back, and gives suspects new time.
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
