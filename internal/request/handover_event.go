package request

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Ready handles the success of a Prepare: the request's Lifecycle is frozen.
// safeToDuplicate is the result of Snapshot.SafeToDuplicate.
func (h *Handover) Ready(now time.Time, ref Ref, safeToDuplicate bool) []HandoverAction {
	i := h.items[ref]
	if i == nil || i.state != itemPreparing {
		return nil
	}
	if i.ownership.State() == Released {
		return h.released(now, i)
	}
	i.safeToDuplicate = safeToDuplicate
	return h.offer(now, i)
}

// NotReady handles the failure of a Prepare: Lifecycle.Freeze returned false. The
// request is prepared again after a pause.
func (h *Handover) NotReady(now time.Time, ref Ref) {
	i := h.items[ref]
	if i == nil || i.state != itemPreparing {
		return
	}
	h.removeInFlight(i)
	i.notBefore = now.Add(h.policy.ResendInterval)
	h.enqueue(i)
}

// Replied handles the reply to an offer.
func (h *Handover) Replied(now time.Time, r Reply) []HandoverAction {
	i := h.items[r.Offer.Ref]
	if i == nil || i.state != itemOffering || r.Offer != i.offer {
		return nil
	}
	if r.Answer == NotAddressee {
		return h.addresseeGone(now, i)
	}
	if !i.ownership.Answered(r) {
		return nil
	}
	if r.Answer == NotTaken {
		return h.offer(now, i)
	}
	return h.released(now, i)
}

// addresseeGone handles the end of the daemon that the request was offered to.
// Whether it had taken the request can't be found out any more.
func (h *Handover) addresseeGone(now time.Time, i *item) []HandoverAction {
	if i.safeToDuplicate {
		return h.offerNext(now, i)
	}
	return h.settle(i, GiveUp{Ref: i.candidate.Ref})
}

// Unsent handles an offer of which nothing was sent, in none of its copies.
func (h *Handover) Unsent(now time.Time, o Offer) []HandoverAction {
	i := h.items[o.Ref]
	if i == nil || i.state != itemOffering || o != i.offer || !i.ownership.Unsent(o.Number) {
		return nil
	}
	return h.offer(now, i)
}

// Learned handles the rank of a holder, received from the directory or in a
// withdrawal. It may be called before or after OwnershipTable.Withdraw.
func (h *Handover) Learned(now time.Time, ref Ref, r Rank) []HandoverAction {
	i := h.items[ref]
	if i == nil {
		return nil
	}
	i.ownership.Learn(r)
	if i.ownership.State() != Released {
		return nil
	}
	if i.state == itemOffering && i.offer.To != r.Holder {
		i.unanswered = append(i.unanswered, i.offer.To)
	}
	return h.released(now, i)
}

// released settles a request whose holder is known, and withdraws all other
// daemons that may hold it.
func (h *Handover) released(now time.Time, i *item) []HandoverAction {
	holder := i.ownership.Holder()
	out := h.withdraw(now, i, holder)
	h.dequeue(i)
	return append(out, h.settle(i, Release{Ref: i.candidate.Ref, To: holder})...)
}

// Finished handles the end of a request on this daemon.
func (h *Handover) Finished(ref Ref) {
	i := h.items[ref]
	if i == nil {
		return
	}
	h.dequeue(i)
	h.removeInFlight(i)
	i.state = itemSettled
	delete(h.items, ref)
}

func (h *Handover) dequeue(i *item) {
	if at := slices.Index(h.queue, i); at >= 0 {
		h.queue = slices.Delete(h.queue, at, at+1)
	}
}

// withdraw sends holder to all addressees that have not answered.
func (h *Handover) withdraw(now time.Time, i *item, holder Rank) []HandoverAction {
	var out []HandoverAction
	for _, d := range i.unanswered {
		out = append(out, h.sendWithdrawal(now, i.candidate.Ref, holder, d)...)
	}
	i.unanswered = nil
	return out
}

func (h *Handover) sendWithdrawal(now time.Time, ref Ref, holder Rank, to fleet.DaemonID) []HandoverAction {
	if to == holder.Holder || to == h.self.Daemon {
		return nil
	}
	w := Withdraw{Ref: ref, Rank: holder, To: to}
	h.withdrawals = append(h.withdrawals, withdrawal{message: w, resendAt: now.Add(h.policy.ResendInterval), copies: 1})
	return []HandoverAction{w}
}

func (h *Handover) resendWithdrawals(now time.Time) []HandoverAction {
	var out []HandoverAction
	for at := range h.withdrawals {
		p := &h.withdrawals[at]
		if now.Before(p.resendAt) {
			continue
		}
		p.copies++
		p.resendAt = now.Add(h.policy.ResendInterval)
		out = append(out, p.message)
	}
	h.withdrawals = slices.DeleteFunc(h.withdrawals, func(p withdrawal) bool { return p.copies > h.policy.MaxWithdrawals })
	return out
}

// Withdrawn handles the answer to a withdrawal, which is the holder that its
// addressee had recorded before. If that is a third daemon, the addressee had
// handed the request over as well, so two daemons hold it; the one of the lower
// rank is withdrawn in turn.
func (h *Handover) Withdrawn(now time.Time, w Withdraw, before Rank) []HandoverAction {
	count := len(h.withdrawals)
	h.withdrawals = slices.DeleteFunc(h.withdrawals, func(p withdrawal) bool { return p.message == w })
	if len(h.withdrawals) == count {
		return nil
	}
	if w.Rank.Less(before) {
		out := h.Learned(now, w.Ref, before)
		return append(out, h.sendWithdrawal(now, w.Ref, before, w.Rank.Holder)...)
	}
	if before.Holder == "" || before.Holder == w.To {
		return nil
	}
	return h.sendWithdrawal(now, w.Ref, w.Rank, before.Holder)
}
