package workload

import "time"

// Bursts says how far arrivals are from a plain Poisson process.
type Bursts struct {
	// Share of all arrivals that come in bursts, 0 to below 1.
	Share float64 `json:"share"`
	// Size is how many arrivals a burst has.
	Size int `json:"size"`
	// Span is the time over which a burst's arrivals are spread.
	Span time.Duration `json:"spanNanos"`
}

// DefaultBursts: one arrival in five comes with seven others within a quarter
// of a second, as when a crew leaves its yard.
func DefaultBursts() Bursts {
	return Bursts{Share: 0.2, Size: 8, Span: 250 * time.Millisecond}
}
