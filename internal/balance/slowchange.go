package balance

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

// minChangeInterval is the least time between two reports about an endpoint.
const minChangeInterval = 5 * time.Second

// SlowChange reports that an endpoint has become slow, or is no longer.
type SlowChange struct {
	Endpoint fleet.EndpointID
	Service  string
	Factor   float64 // how much longer it takes than the median endpoint
	Slow     bool
}

// slowReport is what was last reported of an endpoint's slowness.
type slowReport struct {
	slow bool
	at   time.Time
}

// noteSlow records a change of an endpoint to be reported.
func (s *speeds) noteSlow(now time.Time, m *member) {
	factor := float64(m.slow)
	slow := factor >= speed.UnusualFrom || m.slowReport.slow && factor > speed.Band
	if slow == m.slowReport.slow || now.Sub(m.slowReport.at) < minChangeInterval {
		return
	}
	m.slowReport = slowReport{slow: slow, at: now}
	s.changes = append(s.changes, SlowChange{Endpoint: m.ID, Service: m.Service, Factor: factor, Slow: slow})
}

// TakeSlowChanges returns the changes since the last call.
func (b *Balancer) TakeSlowChanges() []SlowChange {
	out := b.speeds.changes
	b.speeds.changes = nil
	return out
}

// SpeedCounts is the number of a service's endpoints that are slower and faster than the band
// around the median one.
type SpeedCounts struct{ Slower, Faster int }

// SpeedCounts returns the counts by service.
func (b *Balancer) SpeedCounts() map[string]SpeedCounts {
	out := map[string]SpeedCounts{}
	for service := range b.speeds.estimators {
		n := SpeedCounts{}
		for _, m := range b.listed[service] {
			switch factor := float64(m.slow); {
			case factor > speed.Band:
				n.Slower++
			case factor < 1/speed.Band:
				n.Faster++
			}
		}
		out[service] = n
	}
	return out
}
