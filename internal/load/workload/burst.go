package workload

import "time"

// Bursts describes the bursts in an otherwise Poisson process of arrivals.
type Bursts struct {
	// Share of all arrivals that come in bursts, 0 to below 1.
	Share float64 `json:"share"`
	// Size is the number of arrivals in a burst.
	Size int `json:"size"`
	// Span is the time over which a burst's arrivals are spread.
	Span time.Duration `json:"spanNanos"`
}

// DefaultBursts returns bursts of eight arrivals within a quarter of a second,
// which hold one arrival in five. They stand for a crew that starts work together.
func DefaultBursts() Bursts {
	return Bursts{Share: 0.2, Size: 8, Span: 250 * time.Millisecond}
}
