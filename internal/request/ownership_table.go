package request

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// clockSlack keeps custody longer than its request's deadline, against a
// clock that is set back.
const clockSlack = time.Minute

// OwnershipTable is all custody of one run of a daemon. Custody outlives its request
// until the request's deadline: a copy of an old offer may arrive until then
// and must find that it was taken, refused or superseded. After the deadline
// every offer is refused by the clock, so nothing need be remembered.
type OwnershipTable struct {
	self  fleet.DaemonID
	byRef map[Ref]*ownershipEntry
}

type ownershipEntry struct {
	ownership *Ownership
	deadline  time.Time
}

// NewOwnershipTable returns an empty set of custody for one run of a daemon.
func NewOwnershipTable(self fleet.DaemonID) *OwnershipTable {
	return &OwnershipTable{self: self, byRef: make(map[Ref]*ownershipEntry)}
}

// Accept enters a request that this daemon accepted from its caller.
func (h *OwnershipTable) Accept(ref Ref, deadline time.Time) *Ownership {
	c := h.getOrCreate(ref, deadline)
	if c.state == Absent && c.highestOther == (Rank{}) {
		c.state = Holding
	}
	return c
}

// Get returns the custody of ref, nil when it is unknown.
func (h *OwnershipTable) Get(ref Ref) *Ownership {
	if e := h.byRef[ref]; e != nil {
		return e.ownership
	}
	return nil
}

// Take decides an offer. With Taken, fresh says that the request came with
// this copy of the offer, so that it is adopted once.
func (h *OwnershipTable) Take(now time.Time, o Offer, deadline time.Time, canTake bool) (r Reply, fresh bool) {
	if !now.Before(deadline) {
		return h.takeAfterDeadline(o), false
	}
	c := h.getOrCreate(o.Ref, deadline)
	held := c.state == Holding
	r = c.Take(o, canTake)
	return r, r.Answer == Taken && !held && c.state == Holding
}

// takeAfterDeadline answers an offer after its deadline, which is never taken any more.
func (h *OwnershipTable) takeAfterDeadline(o Offer) Reply {
	if e := h.byRef[o.Ref]; e != nil {
		return e.ownership.Take(o, false)
	}
	if o.To != h.self {
		return Reply{Offer: o, Answer: NotAddressee}
	}
	return Reply{Offer: o, Answer: NotTaken}
}

// Withdraw takes the rank of a higher holder. Before is the holder known until
// then; lost says that this daemon held the request and must stop acting for it.
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

// Expire forgets custody of requests whose deadline is long past.
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

// Len returns how many requests are remembered.
func (h *OwnershipTable) Len() int { return len(h.byRef) }
