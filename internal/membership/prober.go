package membership

import (
	"math/rand/v2"
	"time"
)

// prober goes round the region's daemons in random order (SWIM's round-robin
// probing: a failed daemon is probed by each other one within one round).
type prober struct {
	ring []*node
	next int

	target     *node // probed now, or nil
	sequence   uint32
	indirectAt time.Duration
	endAt      time.Duration
	indirect   bool
	receivedAt uint64 // packets received when the probe began
	nextAt     time.Duration
	asked      int // how many others were asked to probe
	nacks      int // how many of them said that they had no answer either
}

// add enters a daemon at a random place of the rest of the round.
func (p *prober) add(n *node, rng *rand.Rand) {
	p.ring = append(p.ring, n)
	last := len(p.ring) - 1
	at := p.next + rng.IntN(last-p.next+1)
	p.ring[at], p.ring[last] = p.ring[last], p.ring[at]
}

// random returns any daemon of the region that is not gone, or nil.
func (p *prober) random(rng *rand.Rand) *node {
	for range 8 {
		if len(p.ring) == 0 {
			return nil
		}
		n := p.ring[rng.IntN(len(p.ring))]
		if !n.effective().Terminal() {
			return n
		}
	}
	return nil
}

// enterRing has a member of the region probed within this round.
func (m *Membership) enterRing(n *node) {
	if m.local(n) && !contains(m.prober.ring[m.prober.next:], n) {
		m.prober.add(n, m.rng)
	}
}

// resetRing begins a new round over all daemons of the region that are not gone.
func (m *Membership) resetRing() {
	p := &m.prober
	clear(p.ring)
	p.ring = p.ring[:0]
	p.next = 0
	for _, n := range m.sorted {
		if m.local(n) && !n.effective().Terminal() {
			p.ring = append(p.ring, n)
		}
	}
	m.rng.Shuffle(len(p.ring), func(i, j int) { p.ring[i], p.ring[j] = p.ring[j], p.ring[i] })
}

// nextTarget returns the next daemon to probe, or nil.
func (m *Membership) nextTarget() *node {
	p := &m.prober
	for range 2 {
		for p.next < len(p.ring) {
			n := p.ring[p.next]
			p.next++
			if m.nodes[n.instance] == n && !n.effective().Terminal() {
				return n
			}
		}
		m.resetRing()
	}
	return nil
}
