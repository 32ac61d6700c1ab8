package membership

import "time"

// Introduce takes daemons that another one or the platform's store vouches for, as of
// a while ago. What is known of them that is newer stands; one that doesn't live is
// found out by the probes. It isn't spread: the others are told in the same way.
func (m *Membership) Introduce(now time.Time, members []Member) []Action {
	m.clock.advance(now)
	for i := range members {
		r := recordOf(members[i])
		m.merge(&Update{
			Instance: members[i].Instance, Run: r.run(), State: Alive, Incarnation: members[i].Incarnation, Record: r,
		}, false)
	}
	return m.takeActions()
}
