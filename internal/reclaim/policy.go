package reclaim

import "time"

// Policy bounds a plan.
type Policy struct {
	// MaxExports that run at once from one endpoint, 1 or more: one transfers, the
	// others are being set up.
	MaxExports int
	// SetupTime is an export's and import's time beyond the transfer.
	SetupTime time.Duration
	// Margin before an endpoint leaves by which its last export must be over.
	Margin time.Duration
	// Slack is the factor by which estimates of the remaining time are raised.
	Slack float64
	// MinExportTokens below which recomputing is cheaper than an export's set-up.
	MinExportTokens int
	// ReservationTTL is how long a reservation outlives its endpoint's leaving: until
	// the target's own load report must have shown the stream.
	ReservationTTL time.Duration
	// LeavingShare of a data centre's endpoints under notice from which the
	// whole of it is taken to be leaving.
	LeavingShare float64
}

// DefaultPolicy suits notices of some seconds to two minutes.
func DefaultPolicy() Policy {
	return Policy{
		MaxExports:      2,
		SetupTime:       50 * time.Millisecond, // two round trips and the blob's bookkeeping
		Margin:          time.Second,           // announced times are a second or so off
		Slack:           1.25,                  // the token interval grows when a target fills up
		MinExportTokens: 64,                    // prefilled in a few ms
		ReservationTTL:  15 * time.Second,      // several load reports
		LeavingShare:    0.5,                   // reclaims come by data centre; the rest is likely to follow
	}
}
