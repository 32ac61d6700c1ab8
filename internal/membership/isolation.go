package membership

// suspectQuietly marks a member that did not answer while nothing at all was
// heard from others. It is then most likely this daemon that is cut off; its
// suspicions would be wrong for all others, and told on its return they would
// make each of them refute. So nobody is told, none turns into Dead, and the
// first packet from anyone takes them all back.
func (m *Membership) suspectQuietly(n *node) {
	n.quiet = true
	m.isolated = true
	m.set(n, n.state.suspected(), n.incarnation, false)
}

// endIsolation takes quiet suspicions back.
func (m *Membership) endIsolation() {
	if !m.isolated {
		return
	}
	m.isolated = false
	for _, n := range m.sorted {
		if n.quiet {
			n.quiet = false
			m.set(n, n.state.cleared(), n.incarnation, false)
		}
	}
	for _, n := range m.suspect {
		n.deadline = m.clock.now + m.suspicionTimeout()
	}
}
