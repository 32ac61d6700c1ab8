package membership

// merge takes in a statement. It reports false where the member's Record is
// needed first. spread is false for what was fetched by comparing tables:
// others will find it in the same way.
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
	// A run may be known as gone only: its number must not count for the run
	// that was known, which may yet raise its own above it.
	n.run = u.Run
	m.mergeState(n, u, spread)
	return true
}

// overrides reports whether u is newer than what is known of n. Only the daemon
// itself gives a higher incarnation, so nobody else can bring a gone one back.
func overrides(u *Update, n *node) bool {
	if u.Incarnation != n.incarnation {
		return u.Incarnation > n.incarnation
	}
	return u.State > n.state
}

// countDuplicate counts a rumour that is heard from others as if it had been told:
// who hears it often needs not repeat it as often. At a start of all daemons
// this spares most of the repetitions.
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

// replaceRun puts a new run of the daemon in the place of the older one.
func (m *Membership) replaceRun(n *node, r *Record) {
	n.record = r
	n.run = r.run()
	n.dc = m.dataCentre(r.DataCentre, r.Region)
	n.digest = Digest{}
	n.sendRecord = true
	m.regions.getOrAdd(r.Region, m.clock.now)
}

// mergeState applies a statement that overrides what is known.
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
