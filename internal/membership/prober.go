package membership

import (
	"math/rand/v2"
	"time"
)

// prober probes the region's daemons in rounds, each in a new random order
// (SWIM's round-robin probing, in which every daemon probes a failed one within
// one round).
type prober struct {
	round []*node // in probing order
	next  int     // index in round of the next target

	target          *node // of the current probe, or nil
	sequence        uint32
	indirectAt      time.Duration
	endAt           time.Duration
	indirect        bool
	receivedAtStart uint64 // Membership.received when the probe began
	nextAt          time.Duration
	requests        int // PingRequests sent
	nacks           int // Nacks received
}

// insert adds a daemon at a random position in the rest of the round.
func (p *prober) insert(n *node, rng *rand.Rand) {
	p.round = append(p.round, n)
	last := len(p.round) - 1
	at := p.next + rng.IntN(last-p.next+1)
	p.round[at], p.round[last] = p.round[last], p.round[at]
}

// randomPeer returns a random daemon of the round that is not gone. It returns
// nil if there is none, or if eight attempts find only gone ones.
func (p *prober) randomPeer(rng *rand.Rand) *node {
	for range 8 {
		if len(p.round) == 0 {
			return nil
		}
		n := p.round[rng.IntN(len(p.round))]
		if !n.effectiveState().Terminal() {
			return n
		}
	}
	return nil
}

// addToRound makes sure that a member of the region is probed within this round.
func (m *Membership) addToRound(n *node) {
	if m.isLocal(n) && !contains(m.prober.round[m.prober.next:], n) {
		m.prober.insert(n, m.rng)
	}
}

// startRound begins a new round over all daemons of the region that are not gone.
func (m *Membership) startRound() {
	p := &m.prober
	clear(p.round)
	p.round = p.round[:0]
	p.next = 0
	for _, n := range m.sorted {
		if m.isLocal(n) && !n.effectiveState().Terminal() {
			p.round = append(p.round, n)
		}
	}
	m.rng.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
}

// nextTarget returns the next daemon to probe, or nil.
func (m *Membership) nextTarget() *node {
	p := &m.prober
	for range 2 {
		for p.next < len(p.round) {
			n := p.round[p.next]
			p.next++
			if m.nodes[n.instance] == n && !n.effectiveState().Terminal() {
				return n
			}
		}
		m.startRound()
	}
	return nil
}
