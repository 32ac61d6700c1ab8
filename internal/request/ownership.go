package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// OwnershipState says whether a daemon may act for a request.
type OwnershipState uint8

// The states of custody.
const (
	// Absent: this daemon never held it.
	Absent OwnershipState = iota
	// Holding: this daemon may dispatch it.
	Holding
	// Offering: an offer is out and not settled. The successor may hold the
	// request, so nothing may be dispatched here.
	Offering
	// Released: another daemon holds it.
	Released
)

// Ownership is one daemon's part in who holds one request. Transfers are
// numbered; the greatest Rank holds the request. The rules:
//
//   - An offer that may have arrived is repeated with its number until it is
//     answered. Its daemon dispatches nothing meanwhile.
//   - NotTaken is for good: the callee remembers the number, so that a delayed
//     copy of the offer can't be taken after the origin went on.
//   - Without an answer the request may be taken back or offered elsewhere
//     under a higher number only where a second holder can't run it twice;
//     the lower holder is withdrawn once the higher one has it.
type Ownership struct {
	self         fleet.DaemonID
	state        OwnershipState
	number       uint64         // under which this daemon holds or held it
	offered      uint64         // the newest number offered from here
	to           fleet.DaemonID // its addressee
	refused      uint64         // the highest number refused here
	highestOther Rank           // the greatest rank of another daemon
}

// Accept returns the custody of a request that self accepted from its caller.
func Accept(self fleet.DaemonID) *Ownership { return &Ownership{self: self, state: Holding} }

// State returns the state.
func (c *Ownership) State() OwnershipState { return c.state }

// MayDispatch reports whether this daemon may start a new attempt.
func (c *Ownership) MayDispatch() bool { return c.state == Holding }

// Rank returns the rank under which this daemon holds or held the request.
func (c *Ownership) Rank() Rank { return Rank{Number: c.number, Holder: c.self} }

// Holder returns the greatest rank known, which may be this daemon's own.
func (c *Ownership) Holder() Rank {
	if c.state == Holding || c.state == Offering || c.highestOther.Less(c.Rank()) {
		return c.Rank()
	}
	return c.highestOther
}

// Offer begins an offer to successor to and returns its number. It is higher
// than any number used here or known of; 0 is returned where this daemon has
// nothing to offer.
func (c *Ownership) Offer(to fleet.DaemonID) uint64 {
	if c.state != Holding && c.state != Offering {
		return 0
	}
	c.state = Offering
	c.to = to
	c.offered = max(c.number, c.offered, c.highestOther.Number) + 1
	return c.offered
}

// Answered settles the offer by its reply and reports whether it did. Replies
// to older offers settle nothing here, but a Taken tells of a holder that the
// caller must withdraw once a higher one is sure.
func (c *Ownership) Answered(r Reply) bool {
	if c.state != Offering || r.Offer.Number != c.offered || r.Offer.To != c.to {
		return false
	}
	switch r.Answer {
	case Taken:
		c.release(Rank{Number: c.offered, Holder: c.to})
	case NotTaken:
		c.state = Holding
	case Superseded:
		c.release(r.Known)
	default:
		return false
	}
	return true
}

// Unsent settles an offer of which nothing was sent.
func (c *Ownership) Unsent(number uint64) bool {
	if c.state != Offering || number != c.offered {
		return false
	}
	c.state = Holding
	return true
}

// TakeBack makes this daemon the holder again without an answer to its offer,
// under a higher number. Allowed only where a second holder can't run the
// request twice. The addressee of the offer must be withdrawn.
func (c *Ownership) TakeBack() Rank {
	c.number = max(c.number, c.offered, c.highestOther.Number) + 1
	c.state = Holding
	return c.Rank()
}

// Take decides an offer that arrived. A daemon that can't take it, because it
// is leaving or full, passes can false.
func (c *Ownership) Take(o Offer, canTake bool) Reply {
	offered := Rank{Number: o.Number, Holder: c.self}
	switch {
	case o.To != c.self:
		return Reply{Offer: o, Answer: NotAddressee}
	case c.state != Absent && o.Number == c.number:
		return Reply{Offer: o, Answer: Taken}
	case offered.Less(c.Holder()):
		return Reply{Offer: o, Answer: Superseded, Known: c.Holder()}
	case o.Number <= c.refused || !canTake || c.state == Offering:
		c.refused = max(c.refused, o.Number)
		return Reply{Offer: o, Answer: NotTaken}
	}
	c.state = Holding
	c.number = o.Number
	return Reply{Offer: o, Answer: Taken}
}

// Learn takes the rank of another holder, from its origin or the directory. It
// reports whether this daemon has just lost the request to it. The rank is
// remembered where nothing is held, too: a delayed offer with a lower number
// must find that it is superseded.
func (c *Ownership) Learn(r Rank) bool {
	if r.Holder == c.self {
		return false
	}
	held := c.state == Holding || c.state == Offering
	if held && c.Rank().Less(r) {
		c.release(r)
		return true
	}
	if c.highestOther.Less(r) {
		c.highestOther = r
	}
	return false
}

// Withdraw is Learn for a withdrawal from the origin of a higher transfer. It
// also returns the holder known before, whom the origin must withdraw as well
// when it is neither this daemon nor r's holder.
func (c *Ownership) Withdraw(r Rank) (before Rank, lost bool) {
	before = c.Holder()
	return before, c.Learn(r)
}

func (c *Ownership) release(to Rank) {
	c.state = Released
	if c.highestOther.Less(to) {
		c.highestOther = to
	}
}
