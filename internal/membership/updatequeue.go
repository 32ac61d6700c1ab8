package membership

import "math/bits"

// queuedUpdate is a statement that is being repeated. It holds a member or a data
// centre; what is told is always the newest that is known of it.
type queuedUpdate struct {
	node *node
	dc   *dataCentre
}

// queueState is how far a rumour has come. It lives in the node or data centre.
type queueState struct {
	queued bool
	sends  int // times sent, or heard from another that knew it already
}

func (u queuedUpdate) queueState() *queueState {
	if u.dc != nil {
		return &u.dc.queueState
	}
	return &u.node.queueState
}

// updateQueue is the queue of statements to piggyback, least repeated first. It
// has at most one entry for each member and data centre.
type updateQueue struct {
	queue []queuedUpdate
}

func (q *updateQueue) addNode(n *node) { q.add(queuedUpdate{node: n}) }

func (q *updateQueue) addDataCentre(d *dataCentre) { q.add(queuedUpdate{dc: d}) }

// add puts a rumour in front of the queue.
func (q *updateQueue) add(u queuedUpdate) {
	t := u.queueState()
	t.sends = 0
	if t.queued {
		return
	}
	t.queued = true
	q.queue = append(q.queue, queuedUpdate{})
	copy(q.queue[1:], q.queue)
	q.queue[0] = u
}

func (q *updateQueue) empty() bool { return len(q.queue) == 0 }

// transmitLimit is how often a rumour is repeated in a group of n daemons.
func transmitLimit(multiplier, n int) int {
	return multiplier * bits.Len(uint(n))
}

// fill adds rumours to the packet while they fit into limit bytes, counts them
// as sent, and returns their size. Those with no sends left go from the queue, and so do those on
// members of a lost data centre, for which its loss speaks.
func (q *updateQueue) fill(p *Packet, limit, maxSends int, otherRegion bool) int {
	if q.empty() {
		return 0
	}
	room := limit - p.Size()
	total := 0
	kept := make([]queuedUpdate, 0, len(q.queue))
	var sent []queuedUpdate
	for _, u := range q.queue {
		if u.isFinished(maxSends) {
			u.finish()
			continue
		}
		size := u.addTo(p, room, otherRegion)
		if size == 0 {
			kept = append(kept, u)
			continue
		}
		room -= size
		total += size
		u.queueState().sends++
		sent = append(sent, u)
	}
	q.queue = append(kept, sent...)
	return total
}

func (u queuedUpdate) isFinished(maxSends int) bool {
	return u.queueState().sends >= maxSends || u.node != nil && u.node.dc.lost()
}

func (u queuedUpdate) finish() {
	u.queueState().queued = false
	if u.node != nil {
		u.node.sendRecord = false
	}
}

// addTo adds the rumour to the packet and returns its size, or 0 where it does
// not fit or is not this receiver's business.
func (u queuedUpdate) addTo(p *Packet, room int, otherRegion bool) int {
	if u.dc != nil {
		return addDataCentre(p, u.dc.update(otherRegion), room)
	}
	// Suspicion is the region's own business.
	if otherRegion && u.node.state.IsSuspect() {
		return 0
	}
	return addUpdate(p, u.node.update(u.node.sendRecord), room)
}

func addDataCentre(p *Packet, u DataCentreUpdate, room int) int {
	size := u.size()
	if size > room {
		return 0
	}
	p.DataCentres = append(p.DataCentres, u)
	return size
}

func addUpdate(p *Packet, u Update, room int) int {
	size := u.size()
	if size > room {
		return 0
	}
	p.Updates = append(p.Updates, u)
	return size
}
