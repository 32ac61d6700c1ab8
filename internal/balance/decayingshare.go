package balance

import (
	"math"
	"time"
)

// decayingShare is the smoothed share of failures among recent outcomes, about the last ten,
// which decays while there are none.
type decayingShare struct {
	share float64
	at    time.Time // time of share
}

// current returns the share, decayed up to now.
func (d *decayingShare) current(now time.Time) float64 {
	if d.share == 0 {
		return 0
	}
	return d.share * math.Exp2(-now.Sub(d.at).Seconds()/failureHalfLife.Seconds())
}

// decay brings the share up to now, without an outcome.
func (d *decayingShare) decay(now time.Time) { d.share, d.at = d.current(now), now }

// observe adds an outcome.
func (d *decayingShare) observe(now time.Time, failed bool) {
	d.decay(now)
	if failed {
		d.share += failureWeight * (1 - d.share)
	} else {
		d.share *= 1 - failureWeight
	}
}
