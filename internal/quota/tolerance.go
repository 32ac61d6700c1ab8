package quota

import "time"

// Tolerance is what may be admitted of a workspace beyond its limit in any window.
type Tolerance struct {
	Amount float64       // fixed part, in the limit's unit
	Share  float64       // part of what the limit allows in a window
	Window time.Duration // time window in which limits are checked
}

// of returns the excess that is tolerated in a window beyond a limit.
func (t Tolerance) of(rate, burst float64) float64 {
	return t.Amount + t.Share*(rate*t.Window.Seconds()+burst)
}
