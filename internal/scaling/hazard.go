package scaling

import (
	"math"
	"time"
)

// hazard follows how often data centres lose their reclaimable endpoints. A
// loss raises the chance of further ones: reclaims come in waves.
type hazard struct {
	recent float64 // losses, each halved with every hazardHalf
	at     time.Time
}

// lost notes that a data centre lost its reclaimable endpoints.
func (h *hazard) lost(now time.Time) {
	h.recent = h.decayed(now) + 1
	h.at = now
}

func (h *hazard) decayed(now time.Time) float64 {
	if h.recent == 0 {
		return 0
	}
	return h.recent * math.Exp2(-now.Sub(h.at).Seconds()/hazardHalf.Seconds())
}

// expected returns the losses to expect within a time: the rate is that of the
// decayed count over the mean age at which it decays.
func (h *hazard) expected(now time.Time, within time.Duration) float64 {
	meanAge := hazardHalf.Seconds() / math.Ln2
	return h.decayed(now) * within.Seconds() / meanAge
}

// provideFor returns the number of further losses to provide for, at most some:
// the k-th is provided for while the chance that it comes before a replacement
// could start, times what its missing endpoints cost callers, exceeds the
// price of endpoints that wait for it. Losses are taken as independent.
func (h *hazard) provideFor(now time.Time, within time.Duration, most int) int {
	mean := h.expected(now, within)
	term := math.Exp(-mean)
	atLeast := 1 - term // chance of k or more
	for k := range most {
		if atLeast*missingCost < 1 {
			return k
		}
		term *= mean / float64(k+1)
		atLeast -= term
	}
	return most
}
