package membership

import "time"

// minStepLimit is the least that maxStep may be: two ticks, so that a late one does
// not slow the protocol down.
const minStepLimit = 200 * time.Millisecond

// clock is the protocol's time since the start. It advances by at most maxStep
// for each event, so a paused process does not find all its deadlines passed
// when it comes back: without this it would declare its peers dead for answers
// that wait in its own socket.
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
