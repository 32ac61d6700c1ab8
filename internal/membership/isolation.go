package membership

import "time"

// isolationPatience is how long a daemon that hears nobody only suspects the
// others. After that it is likely enough that they are gone.
const isolationPatience = time.Minute

// isolation is the time in which nothing at all is heard from others.
type isolation struct {
	on    bool
	since time.Duration
}

// suspectQuietly marks a member that did not answer while nothing at all was
// heard from others. It is then most likely this daemon that is cut off; its
// suspicions would be wrong for all others, and told on its return they would
// make each of them refute. So nobody is told, and the first packet from anyone
// takes them all back.
func (m *Membership) suspectQuietly(n *node) {
	if !m.isolation.on {
		m.isolation = isolation{on: true, since: m.clock.now}
	}
	m.setQuietly(n, n.state.suspected())
}

func (m *Membership) setQuietly(n *node, s State) {
	if !n.quiet {
		n.quiet = true
		n.before = n.state
	}
	m.set(n, s, n.incarnation, false)
}

// tickIsolation holds the suspects for dead when it has lasted.
func (m *Membership) tickIsolation() {
	if !m.isolation.on || m.clock.now < m.isolation.since+isolationPatience {
		return
	}
	for _, n := range m.sorted {
		if n.state.IsSuspect() {
			m.setQuietly(n, Dead)
		}
	}
}

// endIsolation takes quiet judgements back, and gives suspects new time.
func (m *Membership) endIsolation() {
	if !m.isolation.on {
		return
	}
	m.isolation.on = false
	for _, n := range m.sorted {
		if n.quiet {
			n.quiet = false
			m.set(n, n.before.cleared(), n.incarnation, false)
			m.enterRing(n)
		}
	}
	for _, n := range m.suspect {
		n.deadline = m.clock.now + m.suspicionTimeout()
	}
}
