package membership

import "math/bits"

// queuedUpdate refers to a member or a data centre whose state is to be sent.
// One of node and dc is set; each packet gets its latest state.
type queuedUpdate struct {
	node *node
	dc   *dataCentre
}

// queueState is the state of a queued update. It is stored in the node or the
// dataCentre.
type queueState struct {
	queued bool
	sends  int // times sent, or received from another daemon
}

func (u queuedUpdate) queueState() *queueState {
	if u.dc != nil {
		return &u.dc.queueState
	}
	return &u.node.queueState
}

// updateQueue is the queue of updates to piggyback on packets, the least sent
// first. It has at most one entry for each member and data centre.
type updateQueue struct {
	queue []queuedUpdate
}

func (q *updateQueue) addNode(n *node) { q.add(queuedUpdate{node: n}) }

func (q *updateQueue) addDataCentre(d *dataCentre) { q.add(queuedUpdate{dc: d}) }

// add queues an update at the front. An update that is already queued keeps its
// place, and its count of sends restarts.
func (q *updateQueue) add(u queuedUpdate) {
	state := u.queueState()
	state.sends = 0
	if state.queued {
		return
	}
	state.queued = true
	q.queue = append(q.queue, queuedUpdate{})
	copy(q.queue[1:], q.queue)
	q.queue[0] = u
}

func (q *updateQueue) empty() bool { return len(q.queue) == 0 }

// transmitLimit is how many times an update is sent in a region of n daemons.
func transmitLimit(multiplier, n int) int {
	return multiplier * bits.Len(uint(n))
}

// fill adds queued updates to the packet as far as limit bytes allow, counts them
// as sent and returns their size in bytes. It removes updates that were sent
// maxSends times, and those about members of a lost data centre, whose state the
// loss covers.
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

// addTo adds the update to the packet and returns its size in bytes; 0 if it does
// not fit or must not be sent to this receiver.
func (u queuedUpdate) addTo(p *Packet, room int, otherRegion bool) int {
	if u.dc != nil {
		return addDataCentre(p, u.dc.update(otherRegion), room)
	}
	// Only a region's own daemons probe its members and can judge a suspicion.
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
