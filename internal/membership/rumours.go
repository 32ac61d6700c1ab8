package membership

import "math/bits"

// rumour is a statement that is being repeated. It holds a member or a data
// centre; what is told is always the newest that is known of it.
type rumour struct {
	node *node
	dc   *dataCentre
}

// telling is how far a rumour has come. It lives in the node or data centre.
type telling struct {
	queued bool
	sends  int // times sent, or heard from another that knew it already
}

func (r rumour) telling() *telling {
	if r.dc != nil {
		return &r.dc.telling
	}
	return &r.node.telling
}

// rumours is the queue of statements to piggyback, least repeated first. It
// has at most one entry for each member and data centre.
type rumours struct {
	queue []rumour
}

func (q *rumours) addNode(n *node) { q.add(rumour{node: n}) }

func (q *rumours) addDataCentre(d *dataCentre) { q.add(rumour{dc: d}) }

// add puts a rumour in front of the queue.
func (q *rumours) add(r rumour) {
	t := r.telling()
	t.sends = 0
	if t.queued {
		return
	}
	t.queued = true
	q.queue = append(q.queue, rumour{})
	copy(q.queue[1:], q.queue)
	q.queue[0] = r
}

func (q *rumours) empty() bool { return len(q.queue) == 0 }

// transmitLimit is how often a rumour is repeated in a group of n daemons.
func transmitLimit(multiplier, n int) int {
	return multiplier * bits.Len(uint(n))
}

// fill adds rumours to the packet while they fit into limit bytes, counts them
// as sent, and returns their size. Those with no sends left go from the queue, and so do those on
// members of a lost data centre, for which its loss speaks.
func (q *rumours) fill(p *Packet, limit, transmits int, foreign bool) int {
	if q.empty() {
		return 0
	}
	room := limit - p.Size()
	total := 0
	kept := make([]rumour, 0, len(q.queue))
	var sent []rumour
	for _, r := range q.queue {
		if r.isOver(transmits) {
			r.end()
			continue
		}
		size := r.addTo(p, room, foreign)
		if size == 0 {
			kept = append(kept, r)
			continue
		}
		room -= size
		total += size
		r.telling().sends++
		sent = append(sent, r)
	}
	q.queue = append(kept, sent...)
	return total
}

func (r rumour) isOver(transmits int) bool {
	return r.telling().sends >= transmits || r.node != nil && r.node.dc.lost()
}

func (r rumour) end() {
	r.telling().queued = false
	if r.node != nil {
		r.node.fresh = false
	}
}

// addTo adds the rumour to the packet and returns its size, or 0 where it does
// not fit or is not this receiver's business.
func (r rumour) addTo(p *Packet, room int, foreign bool) int {
	if r.dc != nil {
		return addDataCentre(p, r.dc.update(foreign), room)
	}
	// Suspicion is the region's own business.
	if foreign && r.node.state.IsSuspect() {
		return 0
	}
	return addUpdate(p, r.node.update(r.node.fresh), room)
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
