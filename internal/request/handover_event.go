package request

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Ready says that the request is held. Repeatable is Snapshot.Repeatable.
func (h *Handover) Ready(now time.Time, ref Ref, repeatable bool) []Order {
	i := h.items[ref]
	if i == nil || i.state != itemPreparing {
		return nil
	}
	if i.custody.State() == Released {
		return h.released(now, i)
	}
	i.repeatable = repeatable
	return h.offer(now, i)
}

// NotReady says that Life.Hold refused; the request is asked again after a pause.
func (h *Handover) NotReady(now time.Time, ref Ref) {
	i := h.items[ref]
	if i == nil || i.state != itemPreparing {
		return
	}
	h.land(i)
	i.notBefore = now.Add(h.policy.Repeat)
	h.enqueue(i)
}

// Replied takes an answer to an offer.
func (h *Handover) Replied(now time.Time, r Reply) []Order {
	i := h.items[r.Offer.Ref]
	if i == nil || i.state != itemOffering || r.Offer != i.offer {
		return nil
	}
	if r.Answer == NotAddressee {
		return h.addresseeGone(now, i)
	}
	if !i.custody.Answered(r) {
		return nil
	}
	if r.Answer == NotTaken {
		return h.offer(now, i)
	}
	return h.released(now, i)
}

// addresseeGone: the daemon that was offered the request has ended, and nobody
// is left to tell whether it had taken it.
func (h *Handover) addresseeGone(now time.Time, i *item) []Order {
	if i.repeatable {
		return h.goOn(now, i)
	}
	return h.settle(i, GiveUp{Ref: i.candidate.Ref})
}

// Unsent says that nothing of the offer left this process, in none of its
// copies.
func (h *Handover) Unsent(now time.Time, o Offer) []Order {
	i := h.items[o.Ref]
	if i == nil || i.state != itemOffering || o != i.offer || !i.custody.Unsent(o.Number) {
		return nil
	}
	return h.offer(now, i)
}

// Learned takes the rank of a holder from the directory or a withdrawal, before
// or after Holdings.Withdraw.
func (h *Handover) Learned(now time.Time, ref Ref, r Rank) []Order {
	i := h.items[ref]
	if i == nil {
		return nil
	}
	i.custody.Learn(r)
	if i.custody.State() != Released {
		return nil
	}
	if i.state == itemOffering && i.offer.To != r.Holder {
		i.unanswered = append(i.unanswered, i.offer.To)
	}
	return h.released(now, i)
}

// released settles a request whose holder is known, and withdraws all others
// that may hold it.
func (h *Handover) released(now time.Time, i *item) []Order {
	holder := i.custody.Holder()
	out := h.withdraw(now, i, holder)
	h.dequeue(i)
	return append(out, h.settle(i, Release{Ref: i.candidate.Ref, To: holder})...)
}

// Finished says that the request ended here.
func (h *Handover) Finished(ref Ref) {
	i := h.items[ref]
	if i == nil {
		return
	}
	h.dequeue(i)
	h.land(i)
	i.state = itemSettled
	delete(h.items, ref)
}

func (h *Handover) dequeue(i *item) {
	if at := slices.Index(h.queue, i); at >= 0 {
		h.queue = slices.Delete(h.queue, at, at+1)
	}
}

// withdraw tells the unanswered addressees who holds the request.
func (h *Handover) withdraw(now time.Time, i *item, holder Rank) []Order {
	var out []Order
	for _, d := range i.unanswered {
		out = append(out, h.chase(now, i.candidate.Ref, holder, d)...)
	}
	i.unanswered = nil
	return out
}

func (h *Handover) chase(now time.Time, ref Ref, holder Rank, to fleet.DaemonID) []Order {
	if to == holder.Holder || to == h.self.Daemon {
		return nil
	}
	w := Withdraw{Ref: ref, Rank: holder, To: to}
	h.pending = append(h.pending, withdrawal{order: w, next: now.Add(h.policy.Repeat), copies: 1})
	return []Order{w}
}

func (h *Handover) withdrawDue(now time.Time) []Order {
	var out []Order
	for at := range h.pending {
		p := &h.pending[at]
		if now.Before(p.next) {
			continue
		}
		p.copies++
		p.next = now.Add(h.policy.Repeat)
		out = append(out, p.order)
	}
	h.pending = slices.DeleteFunc(h.pending, func(p withdrawal) bool { return p.copies > h.policy.Withdraw })
	return out
}

// Withdrawn takes the answer to a withdrawal: the holder that its addressee
// knew before. Where the addressee had passed the request on, two branches of
// transfers have met: of their two holders the lower is withdrawn in its turn.
func (h *Handover) Withdrawn(now time.Time, w Withdraw, before Rank) []Order {
	known := len(h.pending)
	h.pending = slices.DeleteFunc(h.pending, func(p withdrawal) bool { return p.order == w })
	if len(h.pending) == known {
		return nil
	}
	if w.Rank.Less(before) {
		out := h.Learned(now, w.Ref, before)
		return append(out, h.chase(now, w.Ref, before, w.Rank.Holder)...)
	}
	if before.Holder == "" || before.Holder == w.To {
		return nil
	}
	return h.chase(now, w.Ref, w.Rank, before.Holder)
}
