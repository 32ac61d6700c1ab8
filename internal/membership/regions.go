package membership

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// region is the state of a region as a whole.
type region struct {
	name        fleet.Region
	heartbeat   uint64        // counter, incremented by the region's bridges
	heartbeatAt time.Duration // when the counter last grew
	bridges     []*node       // the region's daemons that probe other regions
}

// regions holds all known regions. They are few, so a slice is enough.
type regions struct {
	own           fleet.Region
	list          []*region
	isBridge      bool // this daemon is a bridge of its own region
	nextHeartbeat time.Duration
	rounds        int // of this bridge's probes of the other regions
}

// getOrAdd returns a region's entry. A new entry counts as reachable from now.
func (r *regions) getOrAdd(name fleet.Region, now time.Duration) *region {
	for _, x := range r.list {
		if x.name == name {
			return x
		}
	}
	x := &region{name: name, heartbeatAt: now}
	r.list = append(r.list, x)
	return x
}

// heartbeats returns the counters as a packet carries them; nil if there is only
// one region.
func (r *regions) heartbeats() []Heartbeat {
	if len(r.list) < 2 {
		return nil
	}
	heartbeats := make([]Heartbeat, len(r.list))
	for i, x := range r.list {
		heartbeats[i] = Heartbeat{Region: x.name, Count: x.heartbeat}
	}
	return heartbeats
}

// merge takes over the counters that are higher than the known ones.
func (r *regions) merge(heartbeats []Heartbeat, now time.Duration) {
	for _, h := range heartbeats {
		x := r.getOrAdd(h.Region, now)
		if h.Count > x.heartbeat {
			x.heartbeat = h.Count
			x.heartbeatAt = now
		}
	}
}

// unreachable returns the other regions whose counters have not grown for longer
// than timeout.
func (r *regions) unreachable(now, timeout time.Duration) []fleet.Region {
	var names []fleet.Region
	for _, x := range r.list {
		if x.name != r.own && now-x.heartbeatAt > timeout {
			names = append(names, x.name)
		}
	}
	return names
}

// chooseBridges selects the bridges of each region by rendezvous hashing, so that
// daemons with the same view select the same ones.
func (m *Membership) chooseBridges() {
	m.regions.isBridge = false
	for _, x := range m.regions.list {
		x.bridges = m.bridgesOf(x)
	}
	own := m.regions.getOrAdd(m.regions.own, m.clock.now)
	m.regions.isBridge = contains(own.bridges, m.self)
}

// bridgesOf returns the region's Alive daemons with the highest scores.
func (m *Membership) bridgesOf(x *region) []*node {
	key := rendezvous.Key(string(x.name))
	best := make([]*node, 0, m.cfg.Bridges+1)
	scores := make([]uint64, 0, m.cfg.Bridges+1)
	for _, n := range m.sorted {
		if n.record.Region != x.name || n.effectiveState() != Alive {
			continue
		}
		score := rendezvous.Score(key, string(n.instance))
		at := len(best)
		for at > 0 && scores[at-1] < score {
			at--
		}
		best = insertAt(best, at, n)
		scores = insertAt(scores, at, score)
		best = best[:min(len(best), m.cfg.Bridges)]
		scores = scores[:min(len(scores), m.cfg.Bridges)]
	}
	return best
}

func insertAt[T any](list []T, at int, value T) []T {
	list = append(list, value)
	copy(list[at+1:], list[at:])
	list[at] = value
	return list
}
