package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// clockSlack is how long ownership is kept after its request's deadline, in case
// a clock is set back.
const clockSlack = time.Minute

// OwnershipTable holds the Ownership of all requests of one run of a daemon. It is
// kept until the request's deadline, even if the request ends before: a copy of
// an old offer may arrive until then and must be recognised as taken, refused or
// superseded. After the deadline every offer is refused.
type OwnershipTable struct {
	self  fleet.DaemonID
	byRef map[Ref]*ownershipEntry
}

type ownershipEntry struct {
	ownership *Ownership
	deadline  time.Time
}

// NewOwnershipTable returns an empty table for daemon self.
func NewOwnershipTable(self fleet.DaemonID) *OwnershipTable {
	return &OwnershipTable{self: self, byRef: make(map[Ref]*ownershipEntry)}
}

// Accept adds a request that this daemon accepted from its caller.
func (h *OwnershipTable) Accept(ref Ref, deadline time.Time) *Ownership {
	c := h.getOrCreate(ref, deadline)
	if c.state == Absent && c.highestOther == (Rank{}) {
		c.state = Holding
	}
	return c
}

// Get returns the ownership of ref, or nil if there is none.
func (h *OwnershipTable) Get(ref Ref) *Ownership {
	if e := h.byRef[ref]; e != nil {
		return e.ownership
	}
	return nil
}

// Take answers an offer. fresh is true for the first copy of an offer that is
// Taken, so that its request is adopted only once.
func (h *OwnershipTable) Take(now time.Time, o Offer, deadline time.Time, canTake bool) (r Reply, fresh bool) {
	if !now.Before(deadline) {
		return h.takeAfterDeadline(o), false
	}
	c := h.getOrCreate(o.Ref, deadline)
	held := c.state == Holding
	r = c.Take(o, canTake)
	return r, r.Answer == Taken && !held && c.state == Holding
}

// takeAfterDeadline answers an offer that arrives after its request's deadline.
// Such an offer is not taken.
func (h *OwnershipTable) takeAfterDeadline(o Offer) Reply {
	if e := h.byRef[o.Ref]; e != nil {
		return e.ownership.Take(o, false)
	}
	if o.To != h.self {
		return Reply{Offer: o, Answer: NotAddressee}
	}
	return Reply{Offer: o, Answer: NotTaken}
}

// Withdraw records the holder in a withdrawal. It returns the previously known
// holder, and lost as true if this daemon held the request and must stop acting
// for it.
func (h *OwnershipTable) Withdraw(now time.Time, ref Ref, r Rank, deadline time.Time) (before Rank, lost bool) {
	if !now.Before(deadline) && h.byRef[ref] == nil {
		return Rank{}, false
	}
	return h.getOrCreate(ref, deadline).Withdraw(r)
}

func (h *OwnershipTable) getOrCreate(ref Ref, deadline time.Time) *Ownership {
	e := h.byRef[ref]
	if e == nil {
		e = &ownershipEntry{ownership: &Ownership{self: h.self}, deadline: deadline}
		h.byRef[ref] = e
	}
	return e.ownership
}

// Expire removes requests whose deadline passed at least clockSlack ago, and
// returns how many.
func (h *OwnershipTable) Expire(now time.Time) int {
	dropped := 0
	for ref, e := range h.byRef {
		if now.Sub(e.deadline) >= clockSlack {
			delete(h.byRef, ref)
			dropped++
		}
	}
	return dropped
}

// Len returns the number of requests in the table.
func (h *OwnershipTable) Len() int { return len(h.byRef) }
