package request

import (
	"cmp"
	"slices"
	"time"
)

// Handover decides in which order a leaving daemon hands its requests over, to
// whom, and what becomes of those whose offer is refused or unanswered.
//
// What costs most to recompute goes first: if the daemon dies early, the least
// is lost. A refused request goes to the next successor. An unanswered one is
// offered to the same successor again; it goes elsewhere under a higher number
// only when two holders could not run it twice.
type Handover struct {
	policy  HandoverPolicy
	self    Member
	members []Member
	by      time.Time // when this daemon ends, zero until Leave
	items   map[Ref]*item
	queue   []*item // most expensive first
	flying  []*item // offering or preparing
	pending []withdrawal
}

// NewHandover returns the hand-over of daemon self, which has not begun.
func NewHandover(self Member, policy HandoverPolicy) *Handover {
	return &Handover{policy: policy, self: self, items: make(map[Ref]*item)}
}

// Leave begins the hand-over, to be over by then. A second notice can only
// bring the end forward.
func (h *Handover) Leave(by time.Time) {
	if h.by.IsZero() || by.Before(h.by) {
		h.by = by
	}
}

// SetMembers replaces the daemons that may be successors.
func (h *Handover) SetMembers(members []Member) { h.members = members }

// Add enters a request. One that is known is left as it is, and one that this
// daemon does not hold is not entered: its life may not have heard yet that it
// was released, and a second offer would make a second holder.
func (h *Handover) Add(c Candidate, custody *Custody) {
	if h.items[c.Ref] != nil || custody.State() != Holding {
		return
	}
	i := &item{candidate: c, custody: custody}
	h.items[c.Ref] = i
	h.enqueue(i)
}

func (h *Handover) enqueue(i *item) {
	i.state = itemQueued
	at, _ := slices.BinarySearchFunc(h.queue, i, func(a, b *item) int {
		return cmp.Compare(b.candidate.Cost, a.candidate.Cost)
	})
	h.queue = slices.Insert(h.queue, at, i)
}

// Open returns how many requests are still to be settled or finished.
func (h *Handover) Open() int { return len(h.items) }

// Settled reports whether every request is settled and every withdrawal answered.
func (h *Handover) Settled() bool { return len(h.items) == 0 && len(h.pending) == 0 }

// Tick starts and repeats what is due. Call it every Repeat at the least.
func (h *Handover) Tick(now time.Time) []Order {
	if h.by.IsZero() {
		return nil
	}
	var out []Order
	for _, i := range slices.Clone(h.flying) {
		out = append(out, h.repeat(now, i)...)
	}
	out = append(out, h.start(now)...)
	return append(out, h.withdrawDue(now)...)
}

// start prepares queued requests while there is room.
func (h *Handover) start(now time.Time) []Order {
	var out []Order
	urgent := h.by.Sub(now) <= h.policy.Urgent
	for at := 0; at < len(h.queue) && len(h.flying) < h.policy.InFlight; {
		i := h.queue[at]
		if now.Before(i.notBefore) || (i.candidate.Remaining <= h.policy.Short && !urgent) {
			at++
			continue
		}
		h.queue = slices.Delete(h.queue, at, at+1)
		h.flying = append(h.flying, i)
		i.state = itemPreparing
		out = append(out, Prepare{Ref: i.candidate.Ref, Urgent: urgent})
	}
	return out
}

// repeat sends an unanswered offer again, or loses patience with it.
func (h *Handover) repeat(now time.Time, i *item) []Order {
	switch {
	case i.state != itemOffering:
		return nil
	case !now.Before(h.by):
		return h.settle(i, GiveUp{Ref: i.candidate.Ref})
	case i.repeatable && now.Sub(i.firstSent) >= h.policy.Patience:
		return h.goOn(now, i)
	case now.Sub(i.lastSent) >= h.policy.Repeat:
		i.lastSent = now
		return []Order{Send{Offer: i.offer}}
	}
	return nil
}

// goOn leaves an addressee that doesn't answer behind and goes on.
func (h *Handover) goOn(now time.Time, i *item) []Order {
	i.unanswered = append(i.unanswered, i.offer.To)
	return h.offer(now, i)
}

// offer sends the request to the next successor. When the round is over, the
// request is kept for a while; if an earlier addressee may hold it, this daemon
// must hold it under a higher number.
func (h *Handover) offer(now time.Time, i *item) []Order {
	to, ok := i.successor(Successors(i.candidate.Ref.ID, h.self, h.members))
	if !ok {
		return h.keep(now, i)
	}
	i.tried = append(i.tried, to)
	i.state = itemOffering
	i.offer = Offer{Ref: i.candidate.Ref, Number: i.custody.Offer(to), From: h.self.Daemon, To: to}
	i.firstSent, i.lastSent = now, now
	return []Order{Send{Offer: i.offer}}
}

func (h *Handover) keep(now time.Time, i *item) []Order {
	out := []Order{Keep{Ref: i.candidate.Ref}}
	if len(i.unanswered) > 0 {
		out = append(out, h.withdraw(now, i, i.custody.TakeBack())...)
	}
	h.land(i)
	i.tried = nil
	i.notBefore = now.Add(h.policy.Pause)
	h.enqueue(i)
	return out
}

// settle ends a request's part in the hand-over.
func (h *Handover) settle(i *item, o Order) []Order {
	h.land(i)
	i.state = itemSettled
	delete(h.items, i.candidate.Ref)
	return []Order{o}
}

// land takes an item out of those in flight.
func (h *Handover) land(i *item) {
	if at := slices.Index(h.flying, i); at >= 0 {
		h.flying = slices.Delete(h.flying, at, at+1)
	}
}
