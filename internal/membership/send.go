package membership

// newPacket returns a packet with the fields that every packet carries.
func (m *Membership) newPacket(k Kind) *Packet {
	return &Packet{
		Kind:       k,
		From:       m.sender(),
		TableHash:  m.tableHash(),
		Digest:     m.self.digest,
		Heartbeats: m.regions.heartbeats(),
	}
}

// piggyback adds what matters most to the receiver n, then queued updates within
// the budget. n is nil if the receiver is not in the table yet.
func (m *Membership) piggyback(p *Packet, n *node) {
	if n == nil {
		m.addOwnRecord(p)
	} else {
		m.addFailedState(p, n)
	}
	if !m.updateBudget.available() {
		return
	}
	otherRegion := n == nil || !m.isLocal(n)
	maxSends := transmitLimit(m.cfg.RetransmitMultiplier, m.regionSize)
	m.updateBudget.spend(m.updates.fill(p, m.cfg.MaxPacketBytes, maxSends, otherRegion))
}

// addOwnRecord adds an update with this daemon's Record.
func (m *Membership) addOwnRecord(p *Packet) {
	p.Updates = append(p.Updates, m.self.update(true))
}

// addFailedState adds n's state to a packet for n if n is suspect or gone, and the
// loss of its data centre. Otherwise a daemon that was paused or isolated might
// never receive these updates, because they are no longer queued.
func (m *Membership) addFailedState(p *Packet, n *node) {
	if !n.provisional && (n.state.IsSuspect() || n.state.Terminal()) {
		p.Updates = append(p.Updates, n.update(false))
	}
	if n.dc.lost() {
		p.DataCentres = append(p.DataCentres, n.dc.update(false))
	}
}

// sendGossip sends a Gossip packet, which counts in full against the budget.
func (m *Membership) sendGossip(to string, n *node) {
	p := m.newPacket(Gossip)
	m.updateBudget.spend(p.Size())
	m.piggyback(p, n)
	m.send(to, p)
}

func (m *Membership) sender() Sender {
	s := m.self
	return Sender{Instance: s.instance, Run: s.run, State: s.state, Incarnation: s.incarnation}
}

func (m *Membership) send(to string, p *Packet) {
	m.emit(Send{To: to, Packet: p})
}

// nextSequence returns the next sequence number; it is never 0.
func (m *Membership) nextSequence() uint32 {
	m.sequence++
	if m.sequence == 0 {
		m.sequence = 1
	}
	return m.sequence
}
