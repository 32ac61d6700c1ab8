package membership

import "time"

// Introduce adds members that another daemon or the platform's store reported
// as alive some time ago. Newer information in the table is kept, and probes
// detect the ones that are gone. The members are not gossiped, since the other
// daemons get them in the same way.
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
