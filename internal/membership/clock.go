package membership

import "time"

// minStepLimit is the lower bound of clock.stepLimit: two ticks, so that a late
// tick does not slow the protocol down.
const minStepLimit = 200 * time.Millisecond

// clock is the protocol's time since the start. It advances by at most stepLimit
// for each event. Otherwise, after a pause of the process, all its deadlines
// would have passed at once and it would declare peers dead although their
// answers are waiting in its own socket.
type clock struct {
	now       time.Duration
	last      time.Time
	stepLimit time.Duration
}

func (c *clock) advance(now time.Time) {
	if c.last.IsZero() {
		c.last = now
		return
	}
	step := now.Sub(c.last)
	if step <= 0 {
		return
	}
	c.last = now
	c.now += min(step, c.stepLimit)
}
