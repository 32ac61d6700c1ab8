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

// item is one request of a Handover.
type item struct {
	candidate       Candidate
	ownership       *Ownership
	state           itemState
	safeToDuplicate bool // a second holder can't run it twice
	notBefore       time.Time
	offer           Offer
	firstSent       time.Time
	lastSent        time.Time
	tried           []fleet.DaemonID // offered to in this round
	unanswered      []fleet.DaemonID // may hold it under a lower number
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

// withdrawal is a Withdraw that has not been answered.
type withdrawal struct {
	message  Withdraw
	resendAt time.Time
	copies   int
}
