package membership

// tickProbe advances the current probe and starts the next one when it is due.
func (m *Membership) tickProbe() {
	p := &m.prober
	if p.target != nil && !p.indirect && m.clock.now >= p.indirectAt {
		m.probeIndirectly()
	}
	if p.target != nil && m.clock.now >= p.endAt {
		m.probeFailed()
	}
	if p.target == nil && m.clock.now >= p.nextAt {
		m.startProbe()
	}
}

func (m *Membership) startProbe() {
	p := &m.prober
	interval := m.health.scale(m.cfg.ProbeInterval)
	p.nextAt = m.clock.now + interval
	n := m.nextTarget()
	if n == nil {
		return
	}
	p.target = n
	p.sequence = m.nextSequence()
	p.indirectAt = m.clock.now + m.health.scale(m.cfg.ProbeTimeout)
	p.endAt = m.clock.now + interval
	p.indirect = false
	p.receivedAtStart = m.received
	p.requests, p.nacks = 0, 0
	m.ping(n, p.sequence)
}

func (m *Membership) ping(n *node, sequence uint32) {
	packet := m.newPacket(Ping)
	packet.Sequence = sequence
	packet.Subject = n.instance
	m.piggyback(packet, n)
	m.send(n.record.Peer, packet)
}

// probeIndirectly asks other daemons to probe the target: the path from here may
// be bad although the target is up.
func (m *Membership) probeIndirectly() {
	p := &m.prober
	p.indirect = true
	for _, via := range m.proxies(p.target) {
		packet := m.newPacket(PingRequest)
		packet.Sequence = p.sequence
		packet.Subject = p.target.instance
		packet.Address = p.target.record.Peer
		m.piggyback(packet, via)
		m.send(via.record.Peer, packet)
		p.requests++
	}
}

// proxies returns the daemons to ask for an indirect probe, those of other data
// centres first, so that not all paths share the links of this data centre.
func (m *Membership) proxies(target *node) []*node {
	chosen := make([]*node, 0, m.cfg.IndirectProbes)
	chosen = m.addProxies(chosen, target, true)
	return m.addProxies(chosen, target, false)
}

func (m *Membership) addProxies(chosen []*node, target *node, otherDataCentres bool) []*node {
	round := m.prober.round
	if len(round) == 0 {
		return chosen
	}
	start := m.rng.IntN(len(round))
	for i := range round {
		if len(chosen) == m.cfg.IndirectProbes {
			break
		}
		n := round[(start+i)%len(round)]
		if n == target || n.state != Alive || n.dc.lost() || contains(chosen, n) {
			continue
		}
		if otherDataCentres && n.dc == m.self.dc {
			continue
		}
		chosen = append(chosen, n)
	}
	return chosen
}

func contains(nodes []*node, n *node) bool {
	for _, other := range nodes {
		if other == n {
			return true
		}
	}
	return false
}

// probeAnswered ends the current probe with success.
func (m *Membership) probeAnswered() {
	m.prober.target = nil
	m.health.improve()
}

// probeFailed ends the current probe and suspects the target.
func (m *Membership) probeFailed() {
	p := &m.prober
	n := p.target
	p.target = nil
	m.health.worsen(p.requests, p.nacks, m.cfg.LocalHealthMax)
	if n.effectiveState().Terminal() || n.state.IsSuspect() {
		return
	}
	if m.received == p.receivedAtStart && m.regionSize > 2 {
		m.suspectProvisionally(n)
		return
	}
	m.setState(n, n.state.suspected(), n.incarnation, true)
	m.startSuspicion(n)
}
