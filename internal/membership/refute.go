package membership

// mergeSelf handles an update about this daemon's own instance. An update that
// reports this run as suspect or gone, or that is about another run with an
// incarnation not below its own, is refuted by a higher incarnation.
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

// reportDeath reports once per incarnation that this daemon was declared dead,
// even if that has been refuted already: a daemon that resumes after a pause may
// receive and refute the suspicion before it receives the Dead update.
func (m *Membership) reportDeath(incarnation uint64) {
	if incarnation <= m.reportedDeath {
		return
	}
	m.reportedDeath = incarnation
	m.emit(DeclaredDead{Incarnation: incarnation})
}

// refutedDeath returns the Dead update about the sender of p if it was Dead in
// this table until now and p's higher incarnation refutes that; otherwise nil.
func (m *Membership) refutedDeath(p *Packet) []Update {
	n := m.nodes[p.From.Instance]
	if n == nil || n.state != Dead || n.run != p.From.Run || p.From.Incarnation <= n.incarnation {
		return nil
	}
	return []Update{n.update(false)}
}
