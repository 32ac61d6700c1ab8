// Package allowance decides how many requests of a pool one daemon may have in
// flight when many daemons use the pool without a central allocator. The daemons
// do not communicate: the loads reported by the endpoints, which include the
// requests of all daemons, are enough.
package allowance

import "math"

// Sample is the state of a pool as one daemon observes it.
type Sample struct {
	Slots    int // sum of the slots reported by the pool's endpoints
	Running  int // sum of the requests reported as running
	Queued   int // sum of the requests reported as queued
	InFlight int // requests of this daemon in flight
	Daemons  int // daemons that may use the pool, this one included
	// Backlog is the time that an endpoint needs to compute its queued prompts,
	// in seconds, averaged over the endpoints.
	Backlog float64
}

// maxBacklog is the backlog, in seconds, above which a daemon lowers its
// allowance. A request whose prompt is queued at an endpoint generates no tokens,
// so admitting more only moves the wait from the daemon's fair queue into the
// endpoints' queues. Of the 1.5 s to the first token, 0.5 s leaves 1 s.
const maxBacklog = 0.5

// floorShare is the fraction of an equal share that a daemon always gets: it must
// admit its first caller even if other daemons hold all slots, whose allowances
// then shrink.
const floorShare = 0.5

// Of returns the number of requests that the daemon may have in flight, at least
// 1. Free slots are split equally among the daemons, so that the pool is not
// overrun if all take their part at once, based on the same old report. If more
// requests are in flight than there are slots, each daemon lowers its allowance
// in proportion to its requests in flight.
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
