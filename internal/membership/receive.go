package membership

import "time"

// Receive handles a packet from another daemon.
func (m *Membership) Receive(now time.Time, p *Packet) []Action {
	m.clock.advance(now)
	if p.From.Instance == m.self.instance {
		m.receiveOwn(p)
		return m.takeActions()
	}
	if m.self.state == Left {
		return m.takeActions()
	}
	m.received++
	m.endIsolation()
	m.regions.merge(p.Heartbeats, m.clock.now)
	death := m.refutedDeath(p)
	m.mergeAll(p)
	known := m.merge(p.From.update(), true)
	n := m.nodes[p.From.Instance]
	if n != nil {
		m.recordContact(n, p)
	}
	if death != nil {
		reply := m.newPacket(Gossip)
		reply.Updates = death
		m.send(p.Source, reply)
	}
	m.dispatch(p, n, n == nil || !known)
	return m.takeActions()
}

// mergeAll applies the packet's updates about members and data centres.
func (m *Membership) mergeAll(p *Packet) {
	spread := !m.inBulkSync() && (p.Kind != SyncPage || m.isFromOtherRegion(p))
	changes := 0
	for i := range p.Updates {
		before := m.buckets.total
		m.countDuplicate(&p.Updates[i])
		m.merge(&p.Updates[i], spread)
		if m.buckets.total != before {
			changes++
		}
	}
	for i := range p.DataCentres {
		m.mergeDataCentre(p.DataCentres[i])
	}
	if p.Kind == SyncPage {
		m.scheduleNextSync(changes)
	}
}

// update returns the sender's state as an update without Record.
func (s *Sender) update() *Update {
	return &Update{Instance: s.Instance, Run: s.Run, State: s.State, Incarnation: s.Incarnation}
}

// receiveOwn handles a packet whose sender has this daemon's instance id: either
// one of its own that came back, or one of another run that is still up.
func (m *Membership) receiveOwn(p *Packet) {
	if p.From.Run != m.self.run {
		m.mergeSelf(p.From.update())
	}
}

// isFromOtherRegion reports whether the packet comes from another region.
func (m *Membership) isFromOtherRegion(p *Packet) bool {
	n := m.nodes[p.From.Instance]
	return n != nil && n.record.Region != m.ownRegion()
}

// recordContact records that n has sent a packet.
func (m *Membership) recordContact(n *node, p *Packet) {
	n.dc.lastPacketAt = m.clock.now
	if !m.joined {
		m.joined = true
		m.dirty = true
	}
	m.seeds.remove(n)
	m.receiveDigest(n, p.Digest)
	m.syncer.updatePeer(n, p.TableHash != m.tableHash())
}

// dispatch handles the packet by its kind. An unknown sender is asked for its
// Record, and a sender that is suspect or gone here is notified of it.
func (m *Membership) dispatch(p *Packet, n *node, needRecord bool) {
	switch p.Kind {
	case Ping:
		if p.Subject == "" || p.Subject == m.self.instance {
			m.sendAck(p, n, needRecord)
			return
		}
		// The Ping is for an instance that had this address before. An Ack
		// would keep that instance alive while the address is in use.
	case PingRequest:
		m.receivePingRequest(p)
	case Ack:
		m.receiveAck(p)
	case Nack:
		m.receiveNack(p)
	case SyncRequest:
		m.receiveSyncRequest(p, n)
	}
	failed := n != nil && m.isFailed(n)
	if needRecord || failed || p.NeedRecord {
		m.replyWithGossip(p, n, needRecord)
	}
}

func (m *Membership) isFailed(n *node) bool {
	return n.state.IsSuspect() || n.state.Terminal() || n.dc.lost()
}

// replyWithGossip sends the sender of p a request for its Record if needRecord is
// set, this daemon's Record if p asks for it, and its state if it is suspect or gone.
func (m *Membership) replyWithGossip(p *Packet, n *node, needRecord bool) {
	reply := m.newPacket(Gossip)
	reply.NeedRecord = needRecord
	if p.NeedRecord {
		m.addOwnRecord(reply)
	}
	if n != nil {
		m.addFailedState(reply, n)
	}
	m.send(p.Source, reply)
}

func (m *Membership) sendAck(p *Packet, n *node, needRecord bool) {
	ack := m.newPacket(Ack)
	ack.Sequence = p.Sequence
	ack.Subject = m.self.instance
	ack.NeedRecord = needRecord
	if n != nil && (p.NeedRecord || p.Subject == "") {
		m.addOwnRecord(ack) // piggyback does so if n is nil
	}
	m.piggyback(ack, n)
	m.send(p.Source, ack)
}

func (m *Membership) receiveAck(p *Packet) {
	if x, ok := m.relays.remove(p.Sequence); ok {
		if p.Subject == x.subject {
			m.answerRequester(x, Ack)
		}
		return
	}
	pr := &m.prober
	if pr.target != nil && p.Sequence == pr.sequence && p.Subject == pr.target.instance {
		m.probeAnswered()
	}
}

func (m *Membership) receiveNack(p *Packet) {
	pr := &m.prober
	if pr.target != nil && p.Sequence == pr.sequence {
		pr.nacks++
	}
}
