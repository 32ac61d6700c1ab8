package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Offer hands a request to one run of a daemon. A daemon that is not To, such
// as the same instance after a restart, must answer NotAddressee: its
// predecessor may have taken and run the request.
type Offer struct {
	Ref    Ref
	Number uint64
	From   fleet.DaemonID
	To     fleet.DaemonID
}

// Answer is the answer to an Offer.
type Answer uint8

// The answers. The zero value proves nothing.
const (
	// NotAddressee: the offer was for another run of the daemon.
	NotAddressee Answer = iota
	// Taken: the callee holds the request, or has held it under this number.
	Taken
	// NotTaken: the callee does not hold it and never will under this number.
	NotTaken
	// Superseded: a holder of a higher rank is known.
	Superseded
)

// Reply answers an Offer.
type Reply struct {
	Offer  Offer
	Answer Answer
	Known  Rank // with Superseded
}
