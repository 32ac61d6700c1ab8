package membership

// merge applies an update. It returns false if the member's Record is needed
// first. spread is whether to queue the update for sending; it is false for
// updates that other daemons fetch for themselves by table synchronisation.
func (m *Membership) merge(u *Update, spread bool) bool {
	if u.Instance == m.self.instance {
		m.mergeSelf(u)
		return true
	}
	n := m.nodes[u.Instance]
	if n == nil {
		return m.mergeUnknown(u, spread)
	}
	if !overrides(u, n) {
		return true
	}
	if u.Run != n.run && !u.State.Terminal() {
		if u.Record == nil {
			return false
		}
		m.replaceRun(n, u.Record)
	}
	// A terminal update of another run leaves the Record, but its run is stored.
	// Otherwise the table would show the Record's run as gone, which may yet
	// raise its incarnation above u's.
	n.run = u.Run
	m.mergeState(n, u, spread)
	return true
}

// overrides reports whether u is newer than n's state. Only the daemon itself
// raises its incarnation, so no other can make a gone daemon alive again.
func overrides(u *Update, n *node) bool {
	if u.Incarnation != n.incarnation {
		return u.Incarnation > n.incarnation
	}
	return u.State > n.state
}

// countDuplicate counts a queued update that is received from another daemon as
// sent once: an update that arrives often is already widely known. When all
// daemons start at once this avoids most of the retransmissions.
func (m *Membership) countDuplicate(u *Update) {
	n := m.nodes[u.Instance]
	if n != nil && n.queueState.queued && u.Incarnation == n.incarnation && u.State == n.state {
		n.queueState.sends++
	}
}

func (m *Membership) mergeUnknown(u *Update, spread bool) bool {
	if u.State.Terminal() {
		return true
	}
	if u.Record == nil {
		return false
	}
	n := m.addMember(u.Instance, u.Record, Alive, u.Incarnation)
	m.seeds.remove(n)
	m.addToRound(n)
	if spread {
		m.updates.addNode(n)
	}
	m.mergeState(n, u, spread)
	return true
}

// replaceRun replaces a member's run by a new one.
func (m *Membership) replaceRun(n *node, r *Record) {
	n.record = r
	n.run = r.run()
	n.dc = m.dataCentre(r.DataCentre, r.Region)
	n.digest = Digest{}
	n.sendRecord = true
	m.regions.getOrAdd(r.Region, m.clock.now)
}

// mergeState applies an update that overrides n's state.
func (m *Membership) mergeState(n *node, u *Update, spread bool) {
	state := m.acceptedState(n, u)
	if state == n.state && u.Incarnation == n.incarnation {
		return
	}
	wasGone := n.state.Terminal()
	wasSuspect := n.state.IsSuspect() && u.Incarnation == n.incarnation
	m.setState(n, state, u.Incarnation, spread)
	if !m.isLocal(n) {
		return
	}
	if wasGone && !state.Terminal() {
		m.addToRound(n)
	}
	if state.IsSuspect() && !wasSuspect {
		m.startSuspicion(n)
	}
	if state == Dead {
		m.checkLoss(n.dc)
	}
}
