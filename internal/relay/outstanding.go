package relay

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Outstanding is the attempts in progress at one endpoint.
type Outstanding struct {
	Service  string
	Endpoint fleet.EndpointID
	Oldest   time.Time // when the oldest of them was sent
}

// Outstanding returns the attempts in progress by endpoint.
func (s *State) Outstanding() []Outstanding {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Outstanding, 0, len(s.attempts))
	for id, attempts := range s.attempts {
		o := Outstanding{Endpoint: id}
		for t := range attempts {
			o.Service = t.choice.Endpoint.Service
			if o.Oldest.IsZero() || t.sent.Before(o.Oldest) {
				o.Oldest = t.sent
			}
		}
		out = append(out, o)
	}
	return out
}

// NoteUnreachable records endpoints to which connecting failed while others of their service
// accept connections.
func (s *State) NoteUnreachable(now time.Time, all []fleet.EndpointID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range all {
		s.balancer.NoteUnreachable(now, id)
	}
}
