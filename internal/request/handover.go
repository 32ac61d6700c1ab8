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
	policy      HandoverPolicy
	self        Member
	members     []Member
	endsAt      time.Time // when this daemon ends, zero until Leave
	items       map[Ref]*item
	queue       []*item // most expensive first
	inFlight    []*item // offering or preparing
	withdrawals []withdrawal
}

// NewHandover returns the hand-over of daemon self, which has not begun.
func NewHandover(self Member, policy HandoverPolicy) *Handover {
	return &Handover{policy: policy, self: self, items: make(map[Ref]*item)}
}

// Leave begins the hand-over, to be over by then. A second notice can only
// bring the end forward.
func (h *Handover) Leave(by time.Time) {
	if h.endsAt.IsZero() || by.Before(h.endsAt) {
		h.endsAt = by
	}
}

// SetMembers replaces the daemons that may be successors.
func (h *Handover) SetMembers(members []Member) { h.members = members }

// Add enters a request. One that is known is left as it is, and one that this
// daemon does not hold is not entered: its life may not have heard yet that it
// was released, and a second offer would make a second holder.
func (h *Handover) Add(c Candidate, custody *Ownership) {
	if h.items[c.Ref] != nil || custody.State() != Holding {
		return
	}
	i := &item{candidate: c, ownership: custody}
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
func (h *Handover) Settled() bool { return len(h.items) == 0 && len(h.withdrawals) == 0 }

// Tick starts and repeats what is due. Call it every Repeat at the least.
func (h *Handover) Tick(now time.Time) []HandoverAction {
	if h.endsAt.IsZero() {
		return nil
	}
	var out []HandoverAction
	for _, i := range slices.Clone(h.inFlight) {
		out = append(out, h.checkOffer(now, i)...)
	}
	out = append(out, h.start(now)...)
	return append(out, h.resendWithdrawals(now)...)
}

// start prepares queued requests while there is room.
func (h *Handover) start(now time.Time) []HandoverAction {
	var out []HandoverAction
	urgent := h.endsAt.Sub(now) <= h.policy.UrgentBefore
	for at := 0; at < len(h.queue) && len(h.inFlight) < h.policy.MaxInFlight; {
		i := h.queue[at]
		if now.Before(i.notBefore) || (i.candidate.Remaining <= h.policy.ShortRemaining && !urgent) {
			at++
			continue
		}
		h.queue = slices.Delete(h.queue, at, at+1)
		h.inFlight = append(h.inFlight, i)
		i.state = itemPreparing
		out = append(out, Prepare{Ref: i.candidate.Ref, Urgent: urgent})
	}
	return out
}

// checkOffer sends an unanswered offer again, or loses patience with it.
func (h *Handover) checkOffer(now time.Time, i *item) []HandoverAction {
	switch {
	case i.state != itemOffering:
		return nil
	case !now.Before(h.endsAt):
		return h.settle(i, GiveUp{Ref: i.candidate.Ref})
	case i.safeToDuplicate && now.Sub(i.firstSent) >= h.policy.ReplyTimeout:
		return h.offerNext(now, i)
	case now.Sub(i.lastSent) >= h.policy.ResendInterval:
		i.lastSent = now
		return []HandoverAction{Send{Offer: i.offer}}
	}
	return nil
}

// offerNext leaves an addressee that doesn't answer behind and goes on.
func (h *Handover) offerNext(now time.Time, i *item) []HandoverAction {
	i.unanswered = append(i.unanswered, i.offer.To)
	return h.offer(now, i)
}

// offer sends the request to the next successor. When the round is over, the
// request is kept for a while; if an earlier addressee may hold it, this daemon
// must hold it under a higher number.
func (h *Handover) offer(now time.Time, i *item) []HandoverAction {
	to, ok := i.successor(Successors(i.candidate.Ref.ID, h.self, h.members))
	if !ok {
		return h.keep(now, i)
	}
	i.tried = append(i.tried, to)
	i.state = itemOffering
	i.offer = Offer{Ref: i.candidate.Ref, Number: i.ownership.Offer(to), From: h.self.Daemon, To: to}
	i.firstSent, i.lastSent = now, now
	return []HandoverAction{Send{Offer: i.offer}}
}

func (h *Handover) keep(now time.Time, i *item) []HandoverAction {
	out := []HandoverAction{Keep{Ref: i.candidate.Ref}}
	if len(i.unanswered) > 0 {
		out = append(out, h.withdraw(now, i, i.ownership.TakeBack())...)
	}
	h.removeInFlight(i)
	i.tried = nil
	i.notBefore = now.Add(h.policy.RetryPause)
	h.enqueue(i)
	return out
}

// settle ends a request's part in the hand-over.
func (h *Handover) settle(i *item, o HandoverAction) []HandoverAction {
	h.removeInFlight(i)
	i.state = itemSettled
	delete(h.items, i.candidate.Ref)
	return []HandoverAction{o}
}

// removeInFlight takes an item out of those in flight.
func (h *Handover) removeInFlight(i *item) {
	if at := slices.Index(h.inFlight, i); at >= 0 {
		h.inFlight = slices.Delete(h.inFlight, at, at+1)
	}
}
