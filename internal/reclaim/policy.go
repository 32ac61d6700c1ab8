package reclaim

import "time"

// Policy is the parameters of a plan.
type Policy struct {
	// MaxExports is how many exports from one endpoint run at once, at least 1:
	// one transfers, the others are being set up.
	MaxExports int
	// SetupTime is the time that an export and import take beyond the transfer.
	SetupTime time.Duration
	// Margin is how long before an endpoint leaves its last export must be over.
	Margin time.Duration
	// Slack is the factor by which estimates of the remaining time are multiplied.
	Slack float64
	// MinExportTokens is the number of tokens below which recomputing is cheaper
	// than setting up an export.
	MinExportTokens int
	// ReservationTTL is how long a reservation is kept after the endpoint has left
	// or the move is done: until the target's load report must have included the
	// stream.
	ReservationTTL time.Duration
	// LeavingShare is the share of a data centre's endpoints under notice from
	// which the whole data centre is assumed to be leaving.
	LeavingShare float64
}

// DefaultPolicy suits notices of some seconds to two minutes.
func DefaultPolicy() Policy {
	return Policy{
		MaxExports:      2,
		SetupTime:       50 * time.Millisecond, // two round trips, and the engines' work on the blob
		Margin:          time.Second,           // announced times are off by about a second
		Slack:           1.25,                  // the token interval grows when a target fills up
		MinExportTokens: 64,                    // prefilled in a few ms
		ReservationTTL:  15 * time.Second,      // several intervals of load reports
		LeavingShare:    0.5,                   // instances tend to be reclaimed by data centre
	}
}
