package membership

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// region is what is known of a region as a whole.
type region struct {
	name    fleet.Region
	count   uint64        // its beat
	grewAt  time.Duration // when the beat last grew
	bridges []*node       // its daemons that probe other regions
}

// regions holds all known regions; there are few, so a slice is enough.
type regions struct {
	own      fleet.Region
	list     []*region
	isBridge bool // this daemon is a bridge of its own region
	nextBeat time.Duration
	rotate   int
}

// touch returns a region's entry, made on first use. It then counts as just heard.
func (r *regions) touch(name fleet.Region, now time.Duration) *region {
	for _, x := range r.list {
		if x.name == name {
			return x
		}
	}
	x := &region{name: name, grewAt: now}
	r.list = append(r.list, x)
	return x
}

// beats returns the counters as a packet carries them. With a single region
// there is nothing to tell.
func (r *regions) beats() []Beat {
	if len(r.list) < 2 {
		return nil
	}
	beats := make([]Beat, len(r.list))
	for i, x := range r.list {
		beats[i] = Beat{Region: x.name, Count: x.count}
	}
	return beats
}

// merge takes in the greater counters.
func (r *regions) merge(beats []Beat, now time.Duration) {
	for _, b := range beats {
		x := r.touch(b.Region, now)
		if b.Count > x.count {
			x.count = b.Count
			x.grewAt = now
		}
	}
}

// lost returns the other regions whose counters stand still.
func (r *regions) lost(now, silence time.Duration) []fleet.Region {
	var names []fleet.Region
	for _, x := range r.list {
		if x.name != r.own && now-x.grewAt > silence {
			names = append(names, x.name)
		}
	}
	return names
}

// chooseBridges picks for each region the daemons that probe the others, by
// rendezvous hashing, so that daemons with the same view agree.
func (m *Membership) chooseBridges() {
	m.regions.isBridge = false
	for _, x := range m.regions.list {
		x.bridges = m.bridgesOf(x)
	}
	own := m.regions.touch(m.regions.own, m.clock.now)
	m.regions.isBridge = contains(own.bridges, m.self)
}

// bridgesOf returns the region's best-scored daemons that are up.
func (m *Membership) bridgesOf(x *region) []*node {
	key := rendezvous.Key(string(x.name))
	best := make([]*node, 0, m.cfg.Bridges+1)
	scores := make([]uint64, 0, m.cfg.Bridges+1)
	for _, n := range m.sorted {
		if n.record.Region != x.name || n.effective() != Alive {
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
