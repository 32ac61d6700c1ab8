package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// Offer offers a request to one run of a daemon. A daemon with another id than To,
// for example after a restart on the same instance, must answer NotAddressee: the
// earlier run may have taken and run the request.
type Offer struct {
	Ref    Ref
	Number uint64 // of the transfer
	From   fleet.DaemonID
	To     fleet.DaemonID
}

// Answer is the answer to an Offer.
type Answer uint8

// The answers. The zero value leaves the outcome open.
const (
	// NotAddressee: the offer was for another run of the daemon.
	NotAddressee Answer = iota
	// Taken: the addressee holds the request, or has held it under this number.
	Taken
	// NotTaken: the addressee does not hold it and never will under this number.
	NotTaken
	// Superseded: the addressee has recorded a holder of a higher rank.
	Superseded
)

// Reply answers an Offer.
type Reply struct {
	Offer  Offer
	Answer Answer
	Known  Rank // the recorded holder, with Superseded
}
