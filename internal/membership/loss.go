package membership

import "time"

// Limits for detecting lost data centres.
const (
	// minLossFailures is the least number of failed daemons that indicates a
	// loss: with one it is only the failure of that daemon.
	minLossFailures = 2
	// verifyProbes is how many daemons are probed to verify a loss.
	verifyProbes = 3
	// verifyInterval is the time between the end of a verification and the next
	// one of the same data centre.
	verifyInterval = 2 * time.Second
	// startupPeriod is how long after its start a daemon assumes that a revoked
	// loss of its data centre happened before it started.
	startupPeriod = 15 * time.Second
)

// checkLoss starts to verify the loss of a data centre if half of its daemons
// failed within LossWindow.
func (m *Membership) checkLoss(d *dataCentre) {
	if d == m.self.dc || d.lost() || d.verifying() || m.clock.now < d.nextVerify {
		return
	}
	failed, up := m.countFailed(d)
	if failed < minLossFailures || failed < up {
		return
	}
	m.verifyLoss(d, d.version+1)
}

// countFailed counts a data centre's daemons that are suspect or became Dead
// within LossWindow, and those that are up.
func (m *Membership) countFailed(d *dataCentre) (failed, up int) {
	since := m.clock.now - m.cfg.LossWindow
	for _, n := range m.sorted {
		switch {
		case n.dc != d || n.state == Left:
		case n.state.IsSuspect() || n.state == Dead && n.failedAt > since:
			failed++
		case n.state != Dead:
			up++
		}
	}
	return failed, up
}

// verifyLoss probes some of the data centre's daemons. A daemon accepts a loss
// that others report only if none of the data centre's daemons answers it: a
// daemon that was partitioned reports the loss of all data centres but its own
// when it reconnects.
func (m *Membership) verifyLoss(d *dataCentre, version uint64) {
	d.claimedVersion = version
	d.verifyFrom = m.clock.now
	d.verifyReceived = m.received
	d.verifyUntil = m.clock.now + m.cfg.ProbeInterval
	d.nextVerify = d.verifyUntil + verifyInterval
	for _, n := range m.verifyTargets(d) {
		m.ping(n, m.nextSequence())
	}
	m.updates.addDataCentre(d)
}

// verifyTargets returns random daemons of the data centre, preferring those that
// are neither suspect nor Dead.
func (m *Membership) verifyTargets(d *dataCentre) []*node {
	var unsuspected, rest []*node
	for _, n := range m.sorted {
		switch {
		case n.dc != d || n.state == Left:
		case n.state == Alive || n.state == Leaving:
			unsuspected = append(unsuspected, n)
		default:
			rest = append(rest, n)
		}
	}
	m.shuffle(unsuspected)
	m.shuffle(rest)
	all := append(unsuspected, rest...)
	return all[:min(len(all), verifyProbes)]
}

func (m *Membership) shuffle(nodes []*node) {
	m.rng.Shuffle(len(nodes), func(i, j int) { nodes[i], nodes[j] = nodes[j], nodes[i] })
}

func (m *Membership) tickDataCentres() {
	for _, d := range m.dataCentres {
		if d.verifying() && m.clock.now >= d.verifyUntil {
			m.endVerification(d)
		}
		if d.lost() && !d.lossApplied {
			m.tickLoss(d)
		}
	}
}

func (m *Membership) endVerification(d *dataCentre) {
	version := d.claimedVersion
	d.claimedVersion = 0
	if d.lastPacketAt >= d.verifyFrom || version <= d.version {
		return
	}
	if m.received == d.verifyReceived {
		return // this daemon itself is isolated
	}
	m.markDataCentreLost(d, version)
}

func (m *Membership) markDataCentreLost(d *dataCentre, version uint64) {
	d.version = version
	d.claimedVersion = 0
	d.lostAt = m.clock.now
	d.lossApplied = false
	m.dirty = true
	m.rehashDataCentre(d)
	m.updates.addDataCentre(d)
	m.emit(DataCentreLost{DataCentre: d.name})
}

// rehashDataCentre updates the buckets after d was lost or has recovered.
func (m *Membership) rehashDataCentre(d *dataCentre) {
	for _, n := range m.sorted {
		if n.dc == d {
			m.rehash(n)
		}
	}
}

func (m *Membership) markDataCentreRecovered(d *dataCentre, version uint64) {
	wasLost := d.lost()
	d.version = version
	d.claimedVersion = 0
	m.dirty = true
	m.rehashDataCentre(d)
	m.updates.addDataCentre(d)
	if !wasLost {
		return
	}
	for _, n := range m.sorted {
		if n.dc == d && n.state.IsSuspect() {
			n.deadline = m.clock.now + m.suspicionTimeout()
		}
	}
	m.emit(DataCentreRecovered{DataCentre: d.name})
}

// tickLoss applies a loss that has lasted for LossApplyDelay. The delay does not
// start while less than half of the region can be reached: this daemon is then
// likely on the smaller side of a partition, and each daemon of the larger side
// would have to refute its own death.
func (m *Membership) tickLoss(d *dataCentre) {
	if d.region == m.ownRegion() && !m.seesMajority() {
		d.lostAt = m.clock.now
		return
	}
	if m.clock.now >= d.lostAt+m.cfg.LossApplyDelay {
		m.applyLoss(d)
	}
}

// seesMajority reports whether at least half of the region's daemons are in
// data centres that are not lost.
func (m *Membership) seesMajority() bool {
	up, all := 0, 0
	for _, n := range m.sorted {
		if n.record.Region != m.ownRegion() || n.state.Terminal() {
			continue
		}
		all++
		if !n.dc.lost() {
			up++
		}
	}
	return 2*up >= all
}

// applyLoss sets the members' own states to Dead. Nothing is sent, since all
// daemons do the same. When a new instance later starts in the data centre and
// revokes the loss, the members that are gone stay Dead.
func (m *Membership) applyLoss(d *dataCentre) {
	d.lossApplied = true
	for _, n := range m.sorted {
		if n.dc == d && !n.state.Terminal() {
			m.setState(n, Dead, n.incarnation, false)
		}
	}
}

// mergeDataCentre applies an update about a data centre.
func (m *Membership) mergeDataCentre(u DataCentreUpdate) {
	d := m.dataCentre(u.DataCentre, u.Region)
	if u.Version <= d.version {
		return
	}
	switch {
	case d == m.self.dc:
		m.refuteLoss(d, u)
	case !u.Lost():
		m.markDataCentreRecovered(d, u.Version)
	case d.region != m.ownRegion():
		m.markDataCentreLost(d, u.Version)
	case !d.verifying() && m.clock.now >= d.nextVerify:
		m.verifyLoss(d, u.Version)
	}
}

// refuteLoss revokes the loss of this daemon's data centre on behalf of all its
// daemons, or accepts that another of them has done so.
func (m *Membership) refuteLoss(d *dataCentre, u DataCentreUpdate) {
	version := u.Version
	if u.Lost() {
		version++
	}
	m.markDataCentreRecovered(d, version)
	if u.Lost() || m.clock.now > startupPeriod {
		m.emit(DeclaredDead{Incarnation: m.self.incarnation})
	}
}
