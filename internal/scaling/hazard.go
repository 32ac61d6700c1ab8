package scaling

import (
	"math"
	"time"
)

// hazard estimates the rate at which data centres lose their reclaimable
// endpoints. Each loss raises it for a while, as reclaims come in waves.
type hazard struct {
	recent    float64 // losses, the weight of each halved every hazardHalfLife
	updatedAt time.Time
}

// recordLoss counts a data centre that lost its reclaimable endpoints.
func (h *hazard) recordLoss(now time.Time) {
	h.recent = h.decayed(now) + 1
	h.updatedAt = now
}

func (h *hazard) decayed(now time.Time) float64 {
	if h.recent == 0 {
		return 0
	}
	return h.recent * math.Exp2(-now.Sub(h.updatedAt).Seconds()/hazardHalfLife.Seconds())
}

// expectedLosses returns the expected number of losses within the horizon: the
// rate is the decayed count divided by the time constant of the decay.
func (h *hazard) expectedLosses(now time.Time, horizon time.Duration) float64 {
	timeConstant := hazardHalfLife.Seconds() / math.Ln2
	return h.decayed(now) * horizon.Seconds() / timeConstant
}

// lossesToCover returns how many further losses on-demand endpoints should stand
// by for, at most limit. The horizon is the time that a replacement takes to start.
// The k-th loss is covered if its probability within the horizon, times the cost of
// its shortfall to callers, is at least the price of the stand-by endpoints. Losses
// are assumed to be independent: their number has a Poisson distribution.
func (h *hazard) lossesToCover(now time.Time, horizon time.Duration, limit int) int {
	mean := h.expectedLosses(now, horizon)
	term := math.Exp(-mean)
	atLeast := 1 - term // probability of at least k+1 losses
	for k := range limit {
		if atLeast*shortfallCost < 1 {
			return k
		}
		term *= mean / float64(k+1)
		atLeast -= term
	}
	return limit
}
