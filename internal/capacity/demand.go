package capacity

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Closing is a workspace's batch of work that must be done by a deadline.
type Closing struct {
	Workspace fleet.WorkspaceID
	Start     time.Time
	Deadline  time.Time
	Work      float64 // generated tokens remaining
}

// Demand is the load to serve.
type Demand struct {
	Base     float64 // generated tokens a second outside of closings
	Measured float64 // generated tokens a second now, closings included
	Closings []Closing
}

// minWindow is the shortest time over which a closing's remaining work is spread.
// Without it, the rate would grow without bound near the deadline.
const minWindow = 5 * time.Minute

// closingShare is the fraction of the time to the deadline over which a closing's
// work is spread, so that a reclaim wave in its last hour doesn't delay it beyond
// the deadline.
const closingShare = 0.8

// At returns the rate to provide at t, as forecast at now, in generated tokens a
// second.
func (d Demand) At(now, t time.Time) float64 {
	rate := d.Base
	for _, c := range d.Closings {
		rate += c.rate(now, t)
	}
	if !t.After(now) {
		rate = max(rate, d.Measured)
	}
	return rate
}

// Peak returns the highest rate in [now, until] and the time it is first reached.
// It checks only now and the starts of closings, since the rate rises only there.
func (d Demand) Peak(now, until time.Time) (rate float64, when time.Time) {
	rate, when = d.At(now, now), now
	for _, c := range d.Closings {
		if c.Start.Before(now) || c.Start.After(until) {
			continue
		}
		if r := d.At(now, c.Start); r > rate {
			rate, when = r, c.Start
		}
	}
	return rate, when
}

// rate returns the rate that the closing needs at t if its work is spread evenly.
func (c Closing) rate(now, t time.Time) float64 {
	if t.Before(c.Start) || !t.Before(c.Deadline) {
		return 0
	}
	from := c.Start
	if now.After(from) {
		from = now
	}
	window := time.Duration(closingShare * float64(c.Deadline.Sub(from)))
	return c.Work / max(minWindow, window).Seconds()
}
