package request

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// HandoverAction is something that the caller of a Handover must do: one of the
// types below.
type HandoverAction interface{ handoverAction() }

// Prepare asks for Lifecycle.Freeze. Its result is passed to Handover.Ready or
// Handover.NotReady.
type Prepare struct {
	Ref    Ref
	Urgent bool // the argument of Freeze
}

// Send sends or resends an offer with the request's snapshot. Its result is passed
// to Handover.Replied or Handover.Unsent; a missing reply needs no event.
type Send struct{ Offer Offer }

// Withdraw informs daemon To that Rank.Holder holds the request. It is resent
// until Handover.Withdrawn, up to HandoverPolicy.MaxWithdrawals copies.
type Withdraw struct {
	Ref  Ref
	Rank Rank
	To   fleet.DaemonID
}

// Release asks for Lifecycle.Released: To holds the request.
type Release struct {
	Ref Ref
	To  Rank
}

// Keep asks for Lifecycle.Unfreeze: the request continues on this daemon until it
// is offered again.
type Keep struct{ Ref Ref }

// GiveUp asks for Lifecycle.OutcomeUnknown: whether the request was taken can't be
// found out any more.
type GiveUp struct{ Ref Ref }

func (Prepare) handoverAction()  {}
func (Send) handoverAction()     {}
func (Withdraw) handoverAction() {}
func (Release) handoverAction()  {}
func (Keep) handoverAction()     {}
func (GiveUp) handoverAction()   {}
