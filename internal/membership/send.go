package membership

// bare makes a packet with what every packet carries.
func (m *Membership) bare(k Kind) *Packet {
	return &Packet{
		Kind:      k,
		From:      m.sender(),
		TableHash: m.tableHash(),
		Digest:    m.self.digest,
		Beats:     m.regions.beats(),
	}
}

// complete adds what n must know before all, then rumours. A nil n is a
// receiver that is not known yet.
func (m *Membership) complete(p *Packet, n *node) {
	if n == nil {
		m.introduce(p)
	} else {
		m.accuse(p, n)
	}
	if !m.rumourBudget.left() {
		return
	}
	foreign := n == nil || !m.local(n)
	transmits := transmitLimit(m.cfg.RetransmitMultiplier, m.regionSize)
	m.rumourBudget.spend(m.rumours.fill(p, m.cfg.MaxPacketBytes, transmits, foreign))
}

// introduce adds the own Record.
func (m *Membership) introduce(p *Packet) {
	p.Updates = append(p.Updates, m.self.update(true))
}

// accuse tells n that it is held for suspect or gone. Without this a daemon
// that was paused or cut off might wait for a rumour that is no longer told.
func (m *Membership) accuse(p *Packet, n *node) {
	if !n.quiet && (n.state.IsSuspect() || n.state.Terminal()) {
		p.Updates = append(p.Updates, n.update(false))
	}
	if n.dc.lost() {
		p.DataCentres = append(p.DataCentres, n.dc.update(false))
	}
}

// gossip sends updates alone.
func (m *Membership) gossip(to string, n *node) {
	p := m.bare(Gossip)
	m.rumourBudget.spend(p.Size())
	m.complete(p, n)
	m.send(to, p)
}

func (m *Membership) sender() Sender {
	s := m.self
	return Sender{Instance: s.instance, Run: s.run, State: s.state, Incarnation: s.incarnation}
}

func (m *Membership) send(to string, p *Packet) {
	m.act(Send{To: to, Packet: p})
}

// nextSequence returns a number that is never 0.
func (m *Membership) nextSequence() uint32 {
	m.sequence++
	if m.sequence == 0 {
		m.sequence = 1
	}
	return m.sequence
}
