package membership

// mergeSelf answers a statement about this daemon's own instance. One that
// accuses this run, or stems from another run with a number that is not
// smaller, is refuted by a higher incarnation.
func (m *Membership) mergeSelf(u *Update) {
	s := m.self
	if s.state == Left {
		return
	}
	sameRun := u.Run == s.run
	if sameRun && u.State.Terminal() {
		m.reportDeath(u.Incarnation)
	}
	if u.Incarnation < s.incarnation {
		return
	}
	if sameRun && u.Incarnation == s.incarnation && u.State <= s.state {
		return
	}
	s.sendRecord = s.sendRecord || !sameRun
	m.setState(s, s.state, u.Incarnation+1, true)
}

// reportDeath says once for each incarnation that it was held for dead, also
// where it has been refuted already: a paused daemon that comes back may read
// the suspicion first and refute it before it hears of its death.
func (m *Membership) reportDeath(incarnation uint64) {
	if incarnation <= m.reportedDeath {
		return
	}
	m.reportedDeath = incarnation
	m.emit(DeclaredDead{Incarnation: incarnation})
}

// refutedDeath returns what the sender of p must be told about itself: it was held
// for dead here until this packet, whose incarnation refutes it.
func (m *Membership) refutedDeath(p *Packet) []Update {
	n := m.nodes[p.From.Instance]
	if n == nil || n.state != Dead || n.run != p.From.Run || p.From.Incarnation <= n.incarnation {
		return nil
	}
	return []Update{n.update(false)}
}
