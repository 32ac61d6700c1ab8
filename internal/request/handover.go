package request

import (
	"cmp"
	"slices"
	"time"
)

// Handover is the hand-over of all requests of a daemon that is shutting down. It
// decides in which order they are offered, to which successors, and what happens
// if an offer is refused or unanswered.
//
// Requests that are the most expensive to recompute go first, so that the least
// is lost if the daemon ends early. A refused request is offered to the next
// successor. An unanswered offer is resent to the same successor; the request is
// offered to another one, under a higher number, only if two holders can't run it
// twice.
type Handover struct {
	policy      HandoverPolicy
	self        Member
	members     []Member
	endsAt      time.Time // when this daemon has to end; zero before Leave
	items       map[Ref]*item
	queue       []*item // the most expensive first
	inFlight    []*item // being prepared or offered
	withdrawals []withdrawal
}

// NewHandover returns a hand-over for daemon self. Leave starts it.
func NewHandover(self Member, policy HandoverPolicy) *Handover {
	return &Handover{policy: policy, self: self, items: make(map[Ref]*item)}
}

// Leave starts the hand-over, which has to be complete at time by. Another call
// can only make that earlier.
func (h *Handover) Leave(by time.Time) {
	if h.endsAt.IsZero() || by.Before(h.endsAt) {
		h.endsAt = by
	}
}

// SetMembers replaces the list of daemons that may be successors.
func (h *Handover) SetMembers(members []Member) { h.members = members }

// Add adds a request unless it was added before or this daemon doesn't hold it.
// The latter happens when a request has been released but its Lifecycle hasn't
// ended yet; a second offer would create a second holder.
func (h *Handover) Add(c Candidate, ownership *Ownership) {
	if h.items[c.Ref] != nil || ownership.State() != Holding {
		return
	}
	i := &item{candidate: c, ownership: ownership}
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

// Open returns the number of requests that are neither settled nor finished.
func (h *Handover) Open() int { return len(h.items) }

// Settled reports whether all requests are settled and no withdrawal is pending.
func (h *Handover) Settled() bool { return len(h.items) == 0 && len(h.withdrawals) == 0 }

// Tick starts offers, and resends offers and withdrawals that are due. It must be
// called at least every HandoverPolicy.ResendInterval.
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

// start prepares queued requests, up to the limit of requests in flight.
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

// checkOffer handles an unanswered offer: it is resent, replaced by an offer to
// the next successor after the timeout, or ended when time is up.
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

// offerNext replaces the offer to an addressee that doesn't answer.
func (h *Handover) offerNext(now time.Time, i *item) []HandoverAction {
	i.unanswered = append(i.unanswered, i.offer.To)
	return h.offer(now, i)
}

// offer offers the request to the next successor. If all have been tried, the
// request is kept until the next round.
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

// keep queues a request again for the next round of offers. If an addressee that
// did not answer may hold the request, this daemon takes it back under a higher
// number.
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

// settle ends the hand-over of a request with a last action.
func (h *Handover) settle(i *item, action HandoverAction) []HandoverAction {
	h.removeInFlight(i)
	i.state = itemSettled
	delete(h.items, i.candidate.Ref)
	return []HandoverAction{action}
}

// removeInFlight removes an item from those in flight.
func (h *Handover) removeInFlight(i *item) {
	if at := slices.Index(h.inFlight, i); at >= 0 {
		h.inFlight = slices.Delete(h.inFlight, at, at+1)
	}
}
