package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// OwnershipState says whether a daemon may act for a request.
type OwnershipState uint8

// The states of ownership.
const (
	// Absent: this daemon has never held the request.
	Absent OwnershipState = iota
	// Holding: this daemon may dispatch it.
	Holding
	// Offering: an offer has been sent and its outcome is not known. The
	// successor may hold the request, so nothing may be dispatched here.
	Offering
	// Released: another daemon holds it.
	Released
)

// Ownership is one daemon's view of which daemon holds a request. Transfers of a
// request are numbered, and the daemon with the highest Rank holds it:
//
//   - An offer that may have arrived is resent with the same number until it is
//     answered. Until then its sender dispatches nothing.
//   - NotTaken is final: the addressee remembers the number, so that it doesn't
//     take a delayed copy of the offer after the sender has continued.
//   - Without an answer, the request may be taken back or offered to another
//     daemon, under a higher number, only if two holders can't run it twice. The
//     holder with the lower number is withdrawn once the other one has it.
type Ownership struct {
	self         fleet.DaemonID
	state        OwnershipState
	number       uint64         // of the transfer to this daemon or its newest TakeBack; 0 if it accepted the request itself
	offered      uint64         // number of the newest offer from this daemon
	to           fleet.DaemonID // addressee of that offer
	refused      uint64         // the highest number that this daemon has refused
	highestOther Rank           // the highest known rank of another daemon
}

// Accept returns the ownership of a request that self accepted from its caller.
func Accept(self fleet.DaemonID) *Ownership { return &Ownership{self: self, state: Holding} }

// State returns the ownership's state.
func (own *Ownership) State() OwnershipState { return own.state }

// MayDispatch reports whether this daemon may start a new attempt.
func (own *Ownership) MayDispatch() bool { return own.state == Holding }

// Rank returns the rank with which this daemon holds or held the request.
func (own *Ownership) Rank() Rank { return Rank{Number: own.number, Holder: own.self} }

// Holder returns the highest known rank, which may be this daemon's own.
func (own *Ownership) Holder() Rank {
	if own.state == Holding || own.state == Offering || own.highestOther.Less(own.Rank()) {
		return own.Rank()
	}
	return own.highestOther
}

// Offer starts an offer to daemon to and returns its number, which is higher
// than all numbers known here. It returns 0 if this daemon doesn't hold the
// request.
func (own *Ownership) Offer(to fleet.DaemonID) uint64 {
	if own.state != Holding && own.state != Offering {
		return 0
	}
	own.state = Offering
	own.to = to
	own.offered = max(own.number, own.offered, own.highestOther.Number) + 1
	return own.offered
}

// Answered applies the reply to the current offer and reports whether it did.
// Replies to older offers are ignored here; if such a reply is Taken, the caller
// must withdraw that holder once a holder of a higher rank is confirmed.
func (own *Ownership) Answered(r Reply) bool {
	if own.state != Offering || r.Offer.Number != own.offered || r.Offer.To != own.to {
		return false
	}
	switch r.Answer {
	case Taken:
		own.release(Rank{Number: own.offered, Holder: own.to})
	case NotTaken:
		own.state = Holding
	case Superseded:
		own.release(r.Known)
	default:
		return false
	}
	return true
}

// Unsent ends an offer of which nothing was sent.
func (own *Ownership) Unsent(number uint64) bool {
	if own.state != Offering || number != own.offered {
		return false
	}
	own.state = Holding
	return true
}

// TakeBack makes this daemon the holder again, under a higher number, without an
// answer to its offer. That is allowed only if two holders can't run the request
// twice. The addressee of the offer must be withdrawn.
func (own *Ownership) TakeBack() Rank {
	own.number = max(own.number, own.offered, own.highestOther.Number) + 1
	own.state = Holding
	return own.Rank()
}

// Take answers a received offer. canTake is false if the daemon is leaving or at
// its limit of requests.
func (own *Ownership) Take(o Offer, canTake bool) Reply {
	offered := Rank{Number: o.Number, Holder: own.self}
	switch {
	case o.To != own.self:
		return Reply{Offer: o, Answer: NotAddressee}
	case own.state != Absent && o.Number == own.number:
		return Reply{Offer: o, Answer: Taken}
	case offered.Less(own.Holder()):
		return Reply{Offer: o, Answer: Superseded, Known: own.Holder()}
	case o.Number <= own.refused || !canTake || own.state == Offering:
		own.refused = max(own.refused, o.Number)
		return Reply{Offer: o, Answer: NotTaken}
	}
	own.state = Holding
	own.number = o.Number
	return Reply{Offer: o, Answer: Taken}
}

// Learn records the rank of another holder, received from the daemon that made
// the transfer or from the directory, and reports whether this daemon lost the
// request to it. The rank is recorded even if this daemon doesn't hold the
// request, so that a delayed offer with a lower number is superseded.
func (own *Ownership) Learn(r Rank) bool {
	if r.Holder == own.self {
		return false
	}
	held := own.state == Holding || own.state == Offering
	if held && own.Rank().Less(r) {
		own.release(r)
		return true
	}
	if own.highestOther.Less(r) {
		own.highestOther = r
	}
	return false
}

// Withdraw is Learn for a withdrawal sent by the daemon that made a transfer of
// higher rank. It also returns the previously known holder, which the sender has
// to withdraw as well if it is neither this daemon nor r's holder.
func (own *Ownership) Withdraw(r Rank) (before Rank, lost bool) {
	before = own.Holder()
	return before, own.Learn(r)
}

func (own *Ownership) release(to Rank) {
	own.state = Released
	if own.highestOther.Less(to) {
		own.highestOther = to
	}
}
