package reclaim

import "time"

// Policy bounds a plan.
type Policy struct {
	// Exports that run at once from one endpoint, 1 or more: one transfers, the
	// others are being set up.
	Exports int
	// Setup is an export's and import's time beyond the transfer.
	Setup time.Duration
	// Margin before an endpoint leaves by which its last export must be over.
	Margin time.Duration
	// Slack is the factor by which estimates of the remaining time are raised.
	Slack float64
	// MinTokens below which recomputing is cheaper than an export's set-up.
	MinTokens int
	// Keep is how long a reservation outlives its endpoint's leaving: until
	// the target's own load report must have shown the stream.
	Keep time.Duration
	// LeavingShare of a data centre's endpoints under notice from which the
	// whole of it is taken to be leaving.
	LeavingShare float64
}

// DefaultPolicy suits notices of some seconds to two minutes.
func DefaultPolicy() Policy {
	return Policy{
		Exports:      2,
		Setup:        50 * time.Millisecond, // two round trips and the blob's bookkeeping
		Margin:       time.Second,           // announced times are a second or so off
		Slack:        1.25,                  // the token interval grows when a target fills up
		MinTokens:    64,                    // prefilled in a few ms
		Keep:         15 * time.Second,      // several load reports
		LeavingShare: 0.5,                   // reclaims come by data centre; the rest is likely to follow
	}
}
