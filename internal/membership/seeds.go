package membership

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Bounds of hints.
const (
	// maxHints bounds the addresses that are remembered without being members:
	// more than the largest fleet has daemons.
	maxHints = 512
	// hintTries is how often a hint is probed before it is dropped; the next
	// call of Seeds brings it back if it is still listed.
	hintTries = 8
	// joinProbes is how many hints are probed at once before anyone answered.
	joinProbes = 3
)

// hint is an address at which a daemon may be.
type hint struct {
	instance fleet.InstanceID // empty where only the address is known
	peer     string
	tries    int
}

type seeds struct {
	hints  []hint
	nextAt time.Duration
}

// Seeds adds members from the settings or the instance list, which lags: they
// are addresses to probe, and become members only when they answer, so a list
// that still shows a gone daemon does not bring it back. Only Instance, which
// may be empty, and Peer are used.
func (m *Membership) Seeds(now time.Time, members []Member) {
	m.clock.advance(now)
	for _, s := range members {
		if m.wantsHint(s) {
			m.seeds.hints = append(m.seeds.hints, hint{instance: s.Instance, peer: s.Peer})
		}
	}
}

func (m *Membership) wantsHint(s Member) bool {
	if s.Peer == "" || s.Peer == m.self.record.Peer || s.Instance == m.self.instance {
		return false
	}
	if len(m.seeds.hints) == maxHints || m.seeds.has(s.Peer) {
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
	return slices.ContainsFunc(s.hints, func(h hint) bool { return h.peer == peer })
}

// remove drops the hints that became the member n.
func (s *seeds) remove(n *node) {
	if len(s.hints) == 0 {
		return
	}
	s.hints = slices.DeleteFunc(s.hints, func(h hint) bool {
		return h.peer == n.record.Peer || h.instance != "" && h.instance == n.instance
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
		m.probeHints(joinProbes)
		return
	}
	m.seeds.nextAt = m.clock.now + m.cfg.ReconnectInterval
	gone := m.reconnectable()
	total := len(gone) + len(m.seeds.hints)
	if total == 0 {
		return
	}
	if choice := m.rng.IntN(total); choice < len(gone) {
		m.ping(gone[choice], m.nextSequence())
		return
	}
	m.probeHints(1)
}

// reconnectable returns the region's daemons that did not say that they leave
// and do not count as alive.
func (m *Membership) reconnectable() []*node {
	var gone []*node
	for _, n := range m.sorted {
		if m.local(n) && n.effective() == Dead {
			gone = append(gone, n)
		}
	}
	return gone
}

// probeHints probes some hints, each once.
func (m *Membership) probeHints(count int) {
	hints := m.seeds.hints
	probed := make([]bool, len(hints))
	for range min(count, len(hints)) {
		at := m.rng.IntN(len(hints))
		for probed[at] {
			at = (at + 1) % len(hints)
		}
		probed[at] = true
		m.probeHint(&hints[at])
	}
	if !m.joined {
		return
	}
	left := hints[:0]
	for i, h := range hints {
		if !probed[i] || h.tries < hintTries {
			left = append(left, h)
		}
	}
	m.seeds.hints = left
}

func (m *Membership) probeHint(h *hint) {
	p := m.bare(Ping)
	p.Sequence = m.nextSequence()
	m.complete(p, nil)
	m.send(h.peer, p)
	h.tries++
}
