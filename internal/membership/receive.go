package membership

import "time"

// Receive takes in a packet from another daemon.
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

// mergeAll takes in what the packet says of others.
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

// update is what a packet's sender says about itself.
func (s *Sender) update() *Update {
	return &Update{Instance: s.Instance, Run: s.Run, State: s.State, Incarnation: s.Incarnation}
}

// receiveOwn takes in a packet under our own instance's name: an echo, or
// another run of it that is still there.
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

// recordContact notes a sign of life.
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

// dispatch answers the packet. Whoever is not known is asked for its Record,
// whoever is held for suspect or gone is told so.
func (m *Membership) dispatch(p *Packet, n *node, needRecord bool) {
	switch p.Kind {
	case Ping:
		if p.Subject == "" || p.Subject == m.self.instance {
			m.sendAck(p, n, needRecord)
			return
		}
		// The address belonged to another instance, which is gone: no Ack,
		// or that one would stay alive for as long as its address is in use.
	case PingRequest:
		m.receivePingRequest(p)
	case Ack:
		m.receiveAck(p)
	case Nack:
		m.receiveNack(p)
	case SyncRequest:
		m.receiveSyncRequest(p, n)
	}
	accused := n != nil && m.isFailed(n)
	if needRecord || accused || p.NeedRecord {
		m.replyWithGossip(p, n, needRecord)
	}
}

func (m *Membership) isFailed(n *node) bool {
	return n.state.IsSuspect() || n.state.Terminal() || n.dc.lost()
}

// replyWithGossip sends what the sender of p must know or is asked for.
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
		m.addOwnRecord(ack) // complete does so where n is nil
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
