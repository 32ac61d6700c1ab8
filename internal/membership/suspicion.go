package membership

import (
	"math"
	"time"
)

// suspicionTimeout is how long a suspect has to refute the suspicion.
func (m *Membership) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(m.regionSize)))
	base := time.Duration(float64(m.cfg.SuspicionMultiplier) * scale * float64(m.cfg.ProbeInterval))
	return m.health.scale(base)
}

// startSuspicion sets a suspect's deadline and checks whether its data centre
// may be lost.
func (m *Membership) startSuspicion(n *node) {
	n.deadline = m.clock.now + m.suspicionTimeout()
	m.suspects = append(m.suspects, n)
	m.checkLoss(n.dc)
}

// tickSuspects declares suspects Dead whose deadline has passed, except during
// isolation and while the loss of their data centre is verified or accepted.
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

// acceptedState returns the state that an update from another daemon gives n. For
// a member of another region suspicion is removed. Dead is accepted for a member
// of this region only if it has been suspect here for half of the suspicion
// timeout. Otherwise it becomes suspect: the update may come from a daemon or data
// centre that was partitioned and declared all others dead. The member then has
// time to refute, and it stays among the serving ones meanwhile.
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
