// Package allowance decides how many requests of a pool one daemon may have in
// flight, when many daemons use the pool and none of them hands out its
// slots. Daemons tell each other nothing: what the endpoints report of their
// load, which holds everybody's requests, is enough.
package allowance

import "math"

// Sample is what one daemon knows of a pool.
type Sample struct {
	Slots    int // that the pool's endpoints report, all together
	Running  int // requests that they report to run
	Queued   int // requests that they report to wait
	InFlight int // requests of this daemon in flight
	Daemons  int // that may use the pool, this one included
	// Backlog is the time that the endpoints need for the prompts that wait to
	// be computed, in seconds, the mean of all of them.
	Backlog float64
}

// maxBacklog is the backlog, in seconds, above which a daemon gives slots back.
// A slot that waits for its prompt's turn makes no token: what is let in beyond
// it only moves the wait from the daemon's fair queue into the endpoints' own.
// Half a second leaves one of the 1.5 s to the first token.
const maxBacklog = 0.5

// floorShare is the part of an equal share that a daemon always has: where
// others hold all slots, a daemon whose first caller comes must get in, and the
// others then shrink.
const floorShare = 0.5

// Of returns the number of requests that the daemon may have in flight, at
// least 1. Free slots are split equally among the daemons, so that even if all
// take their part at once, reports being old, the pool is not overrun; what
// is over is given back by each in proportion to what it has.
func Of(s Sample) int {
	daemons := max(1, s.Daemons)
	least := int(math.Ceil(floorShare * float64(s.Slots) / float64(daemons)))
	least = max(1, least)
	free := s.Slots - s.Running - s.Queued
	if s.Backlog > maxBacklog {
		keep := int(float64(s.InFlight) * maxBacklog / s.Backlog)
		return max(least, keep)
	}
	if free >= 0 {
		return max(least, s.InFlight+int(math.Ceil(float64(free)/float64(daemons))))
	}
	all := max(s.Running+s.Queued, s.InFlight)
	over := int(math.Ceil(float64(-free) * float64(s.InFlight) / float64(all)))
	return max(least, s.InFlight-over)
}
