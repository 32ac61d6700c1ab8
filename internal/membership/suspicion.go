package membership

import (
	"math"
	"time"
)

// suspicionTimeout is how long a suspect has to refute.
func (m *Membership) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(m.regionSize)))
	base := time.Duration(float64(m.cfg.SuspicionMultiplier) * scale * float64(m.cfg.ProbeInterval))
	return m.health.scale(base)
}

// startSuspicion gives a suspect its deadline.
func (m *Membership) startSuspicion(n *node) {
	n.deadline = m.clock.now + m.suspicionTimeout()
	m.suspects = append(m.suspects, n)
	m.checkLoss(n.dc)
}

// tickSuspects holds suspects for dead whose time to refute is over.
func (m *Membership) tickSuspects() {
	kept := m.suspects[:0]
	for _, n := range m.suspects {
		if !n.state.IsSuspect() {
			continue
		}
		if m.isolation.active || n.dc.lost() || n.dc.verifying() || m.clock.now < n.deadline {
			kept = append(kept, n)
			continue
		}
		m.setState(n, Dead, n.incarnation, true)
	}
	m.suspects = kept
}

// acceptedState is the state that a statement of others about n leads to. A death
// of which no suspicion was heard here for some time is only suspected: it may
// come from a daemon or a data centre that was cut off and held all others for
// dead. The one who is meant then has time to refute, and serves on meanwhile.
func (m *Membership) acceptedState(n *node, u *Update) State {
	if !m.isLocal(n) {
		return u.State.cleared()
	}
	if u.State != Dead || n.state.Terminal() {
		return u.State
	}
	if n.state.IsSuspect() && m.clock.now-n.failedAt >= m.suspicionTimeout()/2 {
		return Dead
	}
	return n.state.suspected()
}
