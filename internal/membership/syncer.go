package membership

import "time"

// Bounds of comparing tables.
const (
	// bulkSyncInterval is the time between comparisons while a daemon learns
	// many members: it has them all within seconds.
	bulkSyncInterval = 300 * time.Millisecond
	// syncRetryInterval is the time to the next comparison where no page came: the
	// peer's budget was spent, or the packet was lost.
	syncRetryInterval = time.Second
	// minBulkChanges is how many changes one page must bring to count as bulk.
	minBulkChanges = 4
	// bulkDuration is how long a daemon is taken to be learning after such a page.
	bulkDuration = 2 * time.Second
	// pagesPerRequest bounds the answer to one SyncRequest.
	pagesPerRequest = 8
)

// syncer fetches the parts of the member table that differ from a peer's
// (anti-entropy by pulling; Demers et al., 1987).
type syncer struct {
	peer      *node // whose hash differed last, or nil
	nextAt    time.Duration
	bulkUntil time.Duration
}

// updatePeer notes whether n's table differs from ours.
func (s *syncer) updatePeer(n *node, differs bool) {
	switch {
	case differs:
		s.peer = n
	case s.peer == n:
		s.peer = nil
	}
}

// inBulkSync reports whether this daemon is learning many members from pages. It
// does not pass on rumours then: when all daemons start at once, rumours about
// all of them would cost each many times the table's size.
func (m *Membership) inBulkSync() bool { return m.clock.now < m.syncer.bulkUntil }

// tickSync asks the peer whose hash differed last for what differs.
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

// bulkPeer chooses another peer each time, so that when all daemons start at
// once none is asked by many.
func (m *Membership) bulkPeer(n *node) *node {
	if other := m.prober.randomPeer(m.rng); other != nil {
		return other
	}
	return n
}

// scheduleNextSync is called for each page with the changes that it brought. Where it
// brought any there may be more.
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

// receiveSyncRequest answers with pages of the buckets that differ. What does
// not fit waits for the next request, whose hashes will show less.
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

// newPage makes a page that tells the state of all data centres.
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

// differingMembers returns the members of the buckets that differ, from another
// bucket on each time, so that all get their turn where not all fit.
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
