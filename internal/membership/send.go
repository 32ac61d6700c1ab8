package membership

// newPacket makes a packet with what every packet carries.
func (m *Membership) newPacket(k Kind) *Packet {
	return &Packet{
		Kind:       k,
		From:       m.sender(),
		TableHash:  m.tableHash(),
		Digest:     m.self.digest,
		Heartbeats: m.regions.heartbeats(),
	}
}

// piggyback adds what n must know before all, then rumours. A nil n is a
// receiver that is not known yet.
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

// addOwnRecord adds the own Record.
func (m *Membership) addOwnRecord(p *Packet) {
	p.Updates = append(p.Updates, m.self.update(true))
}

// addFailedState tells n that it is held for suspect or gone. Without this a daemon
// that was paused or cut off might wait for a rumour that is no longer told.
func (m *Membership) addFailedState(p *Packet, n *node) {
	if !n.provisional && (n.state.IsSuspect() || n.state.Terminal()) {
		p.Updates = append(p.Updates, n.update(false))
	}
	if n.dc.lost() {
		p.DataCentres = append(p.DataCentres, n.dc.update(false))
	}
}

// sendGossip sends updates alone.
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

// nextSequence returns a number that is never 0.
func (m *Membership) nextSequence() uint32 {
	m.sequence++
	if m.sequence == 0 {
		m.sequence = 1
	}
	return m.sequence
}
