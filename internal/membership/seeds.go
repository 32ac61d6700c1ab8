package membership

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Limits for seeds.
const (
	// maxSeeds bounds the number of seeds. It is above the number of daemons
	// of the largest fleet.
	maxSeeds = 512
	// seedTries is how often a seed is probed without success before it is
	// removed. The next call of AddSeeds adds it again if it is still listed.
	seedTries = 8
	// joinProbes is how many seeds are probed at once until a daemon answers.
	joinProbes = 3
)

// seed is an address at which there may be a daemon.
type seed struct {
	instance fleet.InstanceID // empty if only the address is known
	peer     string
	tries    int
}

type seeds struct {
	list   []seed
	nextAt time.Duration
}

// AddSeeds adds addresses to probe, from the settings or the instance list. They
// become members only when they answer, so an outdated instance list does not
// restore gone daemons. Only Instance, which may be empty, and Peer are used.
func (m *Membership) AddSeeds(now time.Time, members []Member) {
	m.clock.advance(now)
	for _, s := range members {
		if m.wantsSeed(s) {
			m.seeds.list = append(m.seeds.list, seed{instance: s.Instance, peer: s.Peer})
		}
	}
}

// wantsSeed reports whether s is to be added as a seed. Members are not, nor are
// Dead ones at their known address, which tickSeeds probes anyway.
func (m *Membership) wantsSeed(s Member) bool {
	if s.Peer == "" || s.Peer == m.self.record.Peer || s.Instance == m.self.instance {
		return false
	}
	if len(m.seeds.list) == maxSeeds || m.seeds.has(s.Peer) {
		return false
	}
	if n := m.nodes[s.Instance]; n != nil && (n.state != Dead || n.record.Peer == s.Peer) {
		return false
	}
	return !m.isMemberAddress(s.Peer)
}

// isMemberAddress reports whether a member that is not gone has the address.
func (m *Membership) isMemberAddress(peer string) bool {
	return slices.ContainsFunc(m.sorted, func(n *node) bool {
		return n.record.Peer == peer && !n.state.Terminal()
	})
}

func (s *seeds) has(peer string) bool {
	return slices.ContainsFunc(s.list, func(entry seed) bool { return entry.peer == peer })
}

// remove removes the seeds that have n's address or instance.
func (s *seeds) remove(n *node) {
	if len(s.list) == 0 {
		return
	}
	s.list = slices.DeleteFunc(s.list, func(entry seed) bool {
		return entry.peer == n.record.Peer || entry.instance != "" && entry.instance == n.instance
	})
}

// tickSeeds probes seeds until a daemon answers. After that it probes one Dead
// daemon or seed every ReconnectInterval: otherwise two sides of a partition that
// have declared each other dead would never reconnect.
func (m *Membership) tickSeeds() {
	if m.clock.now < m.seeds.nextAt {
		return
	}
	if !m.joined {
		m.seeds.nextAt = m.clock.now + m.cfg.ProbeInterval
		m.probeSeeds(joinProbes)
		return
	}
	m.seeds.nextAt = m.clock.now + m.cfg.ReconnectInterval
	gone := m.reconnectable()
	total := len(gone) + len(m.seeds.list)
	if total == 0 {
		return
	}
	if choice := m.rng.IntN(total); choice < len(gone) {
		m.ping(gone[choice], m.nextSequence())
		return
	}
	m.probeSeeds(1)
}

// reconnectable returns the region's daemons that are Dead, alone or with their
// data centre; not those that Left.
func (m *Membership) reconnectable() []*node {
	var gone []*node
	for _, n := range m.sorted {
		if m.isLocal(n) && n.effectiveState() == Dead {
			gone = append(gone, n)
		}
	}
	return gone
}

// probeSeeds probes count random seeds, each once. After the daemon has joined,
// it removes those that have been probed seedTries times.
func (m *Membership) probeSeeds(count int) {
	list := m.seeds.list
	probed := make([]bool, len(list))
	for range min(count, len(list)) {
		at := m.rng.IntN(len(list))
		for probed[at] {
			at = (at + 1) % len(list)
		}
		probed[at] = true
		m.probeSeed(&list[at])
	}
	if !m.joined {
		return
	}
	kept := list[:0]
	for i, s := range list {
		if !probed[i] || s.tries < seedTries {
			kept = append(kept, s)
		}
	}
	m.seeds.list = kept
}

func (m *Membership) probeSeed(s *seed) {
	p := m.newPacket(Ping)
	p.Sequence = m.nextSequence()
	m.piggyback(p, nil)
	m.send(s.peer, p)
	s.tries++
}
