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
func (t *OwnershipTable) Accept(ref Ref, deadline time.Time) *Ownership {
	own := t.getOrCreate(ref, deadline)
	if own.state == Absent && own.highestOther == (Rank{}) {
		own.state = Holding
	}
	return own
}

// Get returns the ownership of ref, or nil if there is none.
func (t *OwnershipTable) Get(ref Ref) *Ownership {
	if e := t.byRef[ref]; e != nil {
		return e.ownership
	}
	return nil
}

// Take answers an offer. fresh is true for the first copy of an offer that is
// Taken, so that its request is adopted only once.
func (t *OwnershipTable) Take(now time.Time, o Offer, deadline time.Time, canTake bool) (r Reply, fresh bool) {
	if !now.Before(deadline) {
		return t.takeAfterDeadline(o), false
	}
	own := t.getOrCreate(o.Ref, deadline)
	held := own.state == Holding
	r = own.Take(o, canTake)
	return r, r.Answer == Taken && !held && own.state == Holding
}

// takeAfterDeadline answers an offer that arrives after its request's deadline.
// Such an offer is not taken.
func (t *OwnershipTable) takeAfterDeadline(o Offer) Reply {
	if e := t.byRef[o.Ref]; e != nil {
		return e.ownership.Take(o, false)
	}
	if o.To != t.self {
		return Reply{Offer: o, Answer: NotAddressee}
	}
	return Reply{Offer: o, Answer: NotTaken}
}

// Withdraw records the holder in a withdrawal. It returns the previously known
// holder, and lost as true if this daemon held the request and must stop acting
// for it.
func (t *OwnershipTable) Withdraw(now time.Time, ref Ref, r Rank, deadline time.Time) (before Rank, lost bool) {
	if !now.Before(deadline) && t.byRef[ref] == nil {
		return Rank{}, false
	}
	return t.getOrCreate(ref, deadline).Withdraw(r)
}

func (t *OwnershipTable) getOrCreate(ref Ref, deadline time.Time) *Ownership {
	e := t.byRef[ref]
	if e == nil {
		e = &ownershipEntry{ownership: &Ownership{self: t.self}, deadline: deadline}
		t.byRef[ref] = e
	}
	return e.ownership
}

// Expire removes requests whose deadline passed at least clockSlack ago, and
// returns how many.
func (t *OwnershipTable) Expire(now time.Time) int {
	dropped := 0
	for ref, e := range t.byRef {
		if now.Sub(e.deadline) >= clockSlack {
			delete(t.byRef, ref)
			dropped++
		}
	}
	return dropped
}

// Len returns the number of requests in the table.
func (t *OwnershipTable) Len() int { return len(t.byRef) }
