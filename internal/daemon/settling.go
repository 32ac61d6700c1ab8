package daemon

import (
	"context"
	"time"
)

// settleTimeout bounds how long a leaving daemon waits for its outcomes to be
// stored. With the store down they are lost: that costs repeats their answer
// and never runs anything twice.
const settleTimeout = 2 * storeTimeout

// settleAll waits until the outcomes of this daemon's orders are stored.
//
// Outcomes are delayed to be written together. If the daemon stopped before, a caller who repeats
// an order that was answered would get "may have run" for ever. No new outcomes
// arrive while a daemon stops, so waiting is enough.
func (d *ledgerDuty) settleAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	ticker := time.NewTicker(drainTick)
	defer ticker.Stop()
	for !d.quiet() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			d.log.Warn("stopping before all outcomes of orders are stored")
			return
		}
	}
}

func (d *ledgerDuty) quiet() bool {
	quiet := d.changing.Load() == 0
	d.ask(func(_ time.Time, s *ledgerState) {
		for _, w := range s.shards {
			quiet = quiet && w.quiet()
		}
	})
	return quiet
}
