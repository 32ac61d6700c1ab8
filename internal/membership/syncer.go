package membership

import "time"

// Limits for table synchronisation.
const (
	// bulkSyncInterval is the time between comparisons during a bulk sync, in
	// which a new daemon fetches the whole table within seconds.
	bulkSyncInterval = 300 * time.Millisecond
	// syncRetryInterval is the time to the next comparison if no page arrives
	// because the peer's budget was used up or the packet was lost.
	syncRetryInterval = time.Second
	// minBulkChanges is how many changes in one page start a bulk sync.
	minBulkChanges = 4
	// bulkDuration is how long a bulk sync lasts after the last such page.
	bulkDuration = 2 * time.Second
	// pagesPerRequest bounds the answer to one SyncRequest.
	pagesPerRequest = 8
)

// syncer fetches the buckets in which a peer's member table differs
// (pull anti-entropy; Demers et al., 1987).
type syncer struct {
	peer      *node // the latest whose table hash differed, or nil
	nextAt    time.Duration
	bulkUntil time.Duration
}

// updatePeer records whether n's table differs from this daemon's.
func (s *syncer) updatePeer(n *node, differs bool) {
	switch {
	case differs:
		s.peer = n
	case s.peer == n:
		s.peer = nil
	}
}

// inBulkSync reports whether this daemon is fetching many members. Meanwhile it
// does not queue updates from other daemons: when all daemons start at once,
// gossip about all of them would cost each one many times the table's size.
func (m *Membership) inBulkSync() bool { return m.clock.now < m.syncer.bulkUntil }

// tickSync sends a SyncRequest to the peer whose table hash differed last.
func (m *Membership) tickSync() {
	s := &m.syncer
	if s.peer == nil || m.clock.now < s.nextAt {
		return
	}
	n := s.peer
	s.peer = nil
	s.nextAt = m.clock.now + syncRetryInterval
	if m.inBulkSync() {
		n = m.bulkPeer(n)
	}
	p := m.newPacket(SyncRequest)
	p.Sequence = m.nextSequence()
	p.Buckets = m.buckets.hashes(p.Sequence)
	m.addFailedState(p, n)
	m.sendSync(n.record.Peer, p)
}

func (m *Membership) sendSync(to string, p *Packet) {
	m.syncBudget.spend(p.Size())
	m.send(to, p)
}

// bulkPeer returns a random peer, or n if there is none, so that when all daemons
// start at once none gets the requests of many.
func (m *Membership) bulkPeer(n *node) *node {
	if other := m.prober.randomPeer(m.rng); other != nil {
		return other
	}
	return n
}

// scheduleNextSync sets the time of the next comparison after a page with this
// number of changes. If there were any, the tables may differ in more.
func (m *Membership) scheduleNextSync(changes int) {
	s := &m.syncer
	if changes == 0 {
		s.nextAt = max(s.nextAt, m.clock.now+m.cfg.SyncInterval)
		return
	}
	s.nextAt = m.clock.now + bulkSyncInterval
	if changes >= minBulkChanges {
		s.bulkUntil = m.clock.now + bulkDuration
	}
}

// receiveSyncRequest answers with pages of the buckets that differ. Members that
// do not fit are sent for the next request, for which fewer buckets differ.
func (m *Membership) receiveSyncRequest(p *Packet, n *node) {
	if len(p.Buckets) != BucketCount {
		return
	}
	differ := m.differingMembers(p.Buckets, p.Sequence)
	for range pagesPerRequest {
		if !m.syncBudget.available() {
			return
		}
		page := m.newPage(n)
		differ = m.fillPage(page, differ)
		m.sendSync(p.Source, page)
		if len(differ) == 0 {
			return
		}
	}
}

// newPage returns a page with the state of all data centres. n is its receiver,
// or nil if it is not in the table.
func (m *Membership) newPage(n *node) *Packet {
	page := m.newPacket(SyncPage)
	if n == nil {
		m.addOwnRecord(page)
	}
	for _, d := range m.dataCentres {
		if d.version > 0 {
			page.DataCentres = append(page.DataCentres, d.update(true))
		}
	}
	return page
}

// fillPage adds members while they fit and returns the rest.
func (m *Membership) fillPage(page *Packet, members []*node) []*node {
	room := m.cfg.MaxPacketBytes - page.Size()
	for i, n := range members {
		size := addUpdate(page, n.update(true), room)
		if size == 0 {
			return members[i:]
		}
		room -= size
	}
	return nil
}

// differingMembers returns the members of the buckets that differ, starting with
// a random bucket, so that no bucket is always left out if not all fit.
func (m *Membership) differingMembers(theirs []byte, salt uint32) []*node {
	first := m.rng.IntN(BucketCount)
	var before, after []*node
	ours := m.buckets.hashes(salt)
	for _, n := range m.sorted {
		b := bucketOf(n.instance)
		switch {
		case ours[b] == theirs[b]:
		case b < first:
			before = append(before, n)
		default:
			after = append(after, n)
		}
	}
	return append(after, before...)
}
