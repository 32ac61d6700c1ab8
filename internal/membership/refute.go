package membership

// claimed answers a statement about this daemon's own instance. One that
// accuses this run, or stems from another run with a number that is not
// smaller, is refuted by a higher incarnation.
func (m *Membership) claimed(u *Update) {
	s := m.self
	if s.state == Left || u.Incarnation < s.incarnation {
		return
	}
	sameRun := u.Run == s.run
	if sameRun && u.Incarnation == s.incarnation && u.State <= s.state {
		return
	}
	s.fresh = s.fresh || !sameRun
	m.set(s, s.state, u.Incarnation+1, true)
	if sameRun && u.State.Terminal() {
		m.act(DeclaredDead{Incarnation: u.Incarnation})
	}
}
