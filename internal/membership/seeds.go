package membership

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Bounds of hints.
const (
	// maxSeeds bounds the addresses that are remembered without being members:
	// more than the largest fleet has daemons.
	maxSeeds = 512
	// seedTries is how often a hint is probed before it is dropped; the next
	// call of Seeds brings it back if it is still listed.
	seedTries = 8
	// joinProbes is how many hints are probed at once before anyone answered.
	joinProbes = 3
)

// seed is an address at which a daemon may be.
type seed struct {
	instance fleet.InstanceID // empty where only the address is known
	peer     string
	tries    int
}

type seeds struct {
	list   []seed
	nextAt time.Duration
}

// AddSeeds adds members from the settings or the instance list, which lags: they
// are addresses to probe, and become members only when they answer, so a list
// that still shows a gone daemon does not bring it back. Only Instance, which
// may be empty, and Peer are used.
func (m *Membership) AddSeeds(now time.Time, members []Member) {
	m.clock.advance(now)
	for _, s := range members {
		if m.wantsSeed(s) {
			m.seeds.list = append(m.seeds.list, seed{instance: s.Instance, peer: s.Peer})
		}
	}
}

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
	return slices.ContainsFunc(s.list, func(known seed) bool { return known.peer == peer })
}

// remove drops the hints that became the member n.
func (known *seeds) remove(n *node) {
	if len(known.list) == 0 {
		return
	}
	known.list = slices.DeleteFunc(known.list, func(s seed) bool {
		return s.peer == n.record.Peer || s.instance != "" && s.instance == n.instance
	})
}

// tickSeeds probes hints until someone answers, then now and then one that is
// believed dead or only hinted at: two sides that hold each other for dead
// would else never meet again.
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

// reconnectable returns the region's daemons that did not say that they leave
// and do not count as alive.
func (m *Membership) reconnectable() []*node {
	var gone []*node
	for _, n := range m.sorted {
		if m.isLocal(n) && n.effectiveState() == Dead {
			gone = append(gone, n)
		}
	}
	return gone
}

// probeSeeds probes some hints, each once.
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
