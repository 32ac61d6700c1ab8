package quota

import "time"

// Tolerance is what may be let in of a workspace beyond its limit in any window.
type Tolerance struct {
	Amount float64       // whatever the limit, in its unit
	Share  float64       // of what the limit allows in the window
	Window time.Duration // in which limits are judged
}

// of returns what is tolerated in a window beyond a limit.
func (t Tolerance) of(rate, burst float64) float64 {
	return t.Amount + t.Share*(rate*t.Window.Seconds()+burst)
}
