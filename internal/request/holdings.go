package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// holdingSlack keeps custody longer than its request's deadline, against a
// clock that is set back.
const holdingSlack = time.Minute

// Holdings is all custody of one run of a daemon. Custody outlives its request
// until the request's deadline: a copy of an old offer may arrive until then
// and must find that it was taken, refused or superseded. After the deadline
// every offer is refused by the clock, so nothing need be remembered.
type Holdings struct {
	self fleet.DaemonID
	byID map[Ref]*holding
}

type holding struct {
	custody  *Custody
	deadline time.Time
}

// NewHoldings returns an empty set of custody for one run of a daemon.
func NewHoldings(self fleet.DaemonID) *Holdings {
	return &Holdings{self: self, byID: make(map[Ref]*holding)}
}

// Accept enters a request that this daemon accepted from its caller.
func (h *Holdings) Accept(ref Ref, deadline time.Time) *Custody {
	c := h.custody(ref, deadline)
	if c.state == Absent && c.known == (Rank{}) {
		c.state = Holding
	}
	return c
}

// Get returns the custody of ref, nil when it is unknown.
func (h *Holdings) Get(ref Ref) *Custody {
	if known := h.byID[ref]; known != nil {
		return known.custody
	}
	return nil
}

// Take decides an offer. With Taken, fresh says that the request came with
// this copy of the offer, so that it is adopted once.
func (h *Holdings) Take(now time.Time, o Offer, deadline time.Time, can bool) (r Reply, fresh bool) {
	if !now.Before(deadline) {
		return h.late(o), false
	}
	c := h.custody(o.Ref, deadline)
	held := c.state == Holding
	r = c.Take(o, can)
	return r, r.Answer == Taken && !held && c.state == Holding
}

// late answers an offer after its deadline, which is never taken any more.
func (h *Holdings) late(o Offer) Reply {
	if known := h.byID[o.Ref]; known != nil {
		return known.custody.Take(o, false)
	}
	if o.To != h.self {
		return Reply{Offer: o, Answer: NotAddressee}
	}
	return Reply{Offer: o, Answer: NotTaken}
}

// Withdraw takes the rank of a higher holder. Before is the holder known until
// then; lost says that this daemon held the request and must stop acting for it.
func (h *Holdings) Withdraw(now time.Time, ref Ref, r Rank, deadline time.Time) (before Rank, lost bool) {
	if !now.Before(deadline) && h.byID[ref] == nil {
		return Rank{}, false
	}
	return h.custody(ref, deadline).Withdraw(r)
}

func (h *Holdings) custody(ref Ref, deadline time.Time) *Custody {
	known := h.byID[ref]
	if known == nil {
		known = &holding{custody: &Custody{self: h.self}, deadline: deadline}
		h.byID[ref] = known
	}
	return known.custody
}

// Expire forgets custody of requests whose deadline is long past.
func (h *Holdings) Expire(now time.Time) int {
	dropped := 0
	for ref, known := range h.byID {
		if now.Sub(known.deadline) >= holdingSlack {
			delete(h.byID, ref)
			dropped++
		}
	}
	return dropped
}

// Len returns how many requests are remembered.
func (h *Holdings) Len() int { return len(h.byID) }
