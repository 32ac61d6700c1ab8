package daemon

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

const (
	// pollsPerSecond bounds the polls of engines by one daemon. Up to as many
	// engines are each polled as often as the settings ask.
	pollsPerSecond = 20
	// fewestPolls is the rate, a second, in large fleets: 359 bytes a poll, of
	// the 7 KB a second that a daemon may spend for control in all. The rate
	// falls to it as the fleet grows to five times what can be polled in full.
	fewestPolls = 4
	// usedFor is how long after a dispatch an engine's load matters here.
	usedFor = 30 * time.Second
	// sweepEvery is the share of polls, one in so many, that goes to all
	// engines in turn, so that one that was never used is not unknown for ever.
	sweepEvery = 4
)

// pollPlan says which engine is polled next, and when. Few engines are polled
// in turn. Many are too many for the bytes that control may cost: there those
// that this daemon used lately come first.
type pollPlan struct {
	every time.Duration // between two polls of one engine, at least
	used  map[fleet.EndpointID]time.Time
	asked map[fleet.EndpointID]time.Time
	turn  int
	sweep int // in the list of engines
}

func newPollPlan(every time.Duration) *pollPlan {
	return &pollPlan{
		every: every,
		used:  make(map[fleet.EndpointID]time.Time),
		asked: make(map[fleet.EndpointID]time.Time),
	}
}

// few reports whether n engines can all be polled as often as is asked for.
func (p *pollPlan) few(n int) bool { return time.Duration(n)*time.Second <= pollsPerSecond*p.every }

// pause returns the time between two polls. A daemon that decides for the
// whole fleet needs full rate.
func (p *pollPlan) pause(n int, full bool) time.Duration {
	const shortest = time.Second / pollsPerSecond
	switch {
	case n == 0:
		return p.every
	case p.few(n):
		return p.every / time.Duration(n)
	case full:
		return shortest
	}
	const longest = time.Second / fewestPolls
	rounds := float64(n) * shortest.Seconds() / p.every.Seconds()
	return min(longest, time.Duration(rounds*float64(shortest)))
}

// pick returns the index of the engine to poll now; list is not empty.
func (p *pollPlan) pick(now time.Time, list []fleet.Endpoint, full bool) int {
	at := -1
	if p.turn++; !full && !p.few(len(list)) && p.turn%sweepEvery != 0 {
		at = p.longestUnasked(now, list)
	}
	if at < 0 {
		p.sweep = (p.sweep + 1) % len(list)
		at = p.sweep
	}
	p.asked[list[at].ID] = now
	return at
}

// longestUnasked returns the engine in use whose report is the oldest, -1
// where all are fresh.
func (p *pollPlan) longestUnasked(now time.Time, list []fleet.Endpoint) int {
	at, oldest := -1, now.Add(-p.every)
	for i := range list {
		id := list[i].ID
		if used, ok := p.used[id]; !ok || now.Sub(used) > usedFor {
			continue
		}
		if asked := p.asked[id]; !asked.After(oldest) {
			at, oldest = i, asked
		}
	}
	return at
}

// dispatched notes that this daemon uses an engine.
func (p *pollPlan) dispatched(now time.Time, id fleet.EndpointID) { p.used[id] = now }

// forget drops what is known of engines that are no longer listed.
func (p *pollPlan) forget(listed map[fleet.EndpointID]*fleet.Endpoint) {
	for _, known := range []map[fleet.EndpointID]time.Time{p.used, p.asked} {
		for id := range known {
			if listed[id] == nil {
				delete(known, id)
			}
		}
	}
}
