package request

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

type itemState uint8

const (
	itemQueued itemState = iota
	itemPreparing
	itemOffering
	itemSettled
)

// item is the state of one request in a Handover.
type item struct {
	candidate       Candidate
	ownership       *Ownership
	state           itemState
	safeToDuplicate bool      // two holders can't run it twice
	notBefore       time.Time // of the next Prepare
	offer           Offer
	firstSent       time.Time        // of the current offer
	lastSent        time.Time        // newest copy of it
	tried           []fleet.DaemonID // addressees of offers in this round
	unanswered      []fleet.DaemonID // addressees that may hold it under a lower number
}

// successor returns the best daemon that this round has not tried.
func (i *item) successor(ranked []fleet.DaemonID) (fleet.DaemonID, bool) {
	for _, d := range ranked {
		if !slices.Contains(i.tried, d) {
			return d, true
		}
	}
	return "", false
}

// withdrawal is an unanswered Withdraw.
type withdrawal struct {
	message  Withdraw
	resendAt time.Time
	copies   int
}
