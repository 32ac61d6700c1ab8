package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// HandoverAction is what a Handover wants done: one of the types below.
type HandoverAction interface{ handoverAction() }

// Prepare asks for Life.Hold, answered by Handover.Ready or NotReady.
type Prepare struct {
	Ref    Ref
	Urgent bool
}

// Send sends an offer with the request's snapshot, again where it was sent
// before. Answer with Handover.Replied or Unsent; silence needs no event.
type Send struct{ Offer Offer }

// Withdraw tells daemon To that the holder of Rank has the request. It is
// repeated until Handover.Withdrawn.
type Withdraw struct {
	Ref  Ref
	Rank Rank
	To   fleet.DaemonID
}

// Release asks for Life.Released: To holds the request.
type Release struct {
	Ref Ref
	To  Rank
}

// Keep asks for Life.Unhold: the request goes on here for now.
type Keep struct{ Ref Ref }

// GiveUp asks for Life.Lost: nobody can tell any more whether it was taken.
type GiveUp struct{ Ref Ref }

func (Prepare) handoverAction()  {}
func (Send) handoverAction()     {}
func (Withdraw) handoverAction() {}
func (Release) handoverAction()  {}
func (Keep) handoverAction()     {}
func (GiveUp) handoverAction()   {}
