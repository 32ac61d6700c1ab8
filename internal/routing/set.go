package routing

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// setKey names the endpoints that can stand in for one another: those with a
// model, adapter and version (or any version), or those of a service.
type setKey struct {
	model   fleet.ModelRef
	service string
}

// set holds the endpoints of one key. Only usable ones are members, so that a
// pick filters nothing; the lists are rebuilt when an endpoint's state changes.
type set struct {
	members  []*endpoint
	hashes   []uint64 // members' hashes side by side, for the rendezvous scan
	present  int      // not leaving
	ejected  int
	cheapest float64 // hour price of the cheapest member with a price
	turn     int     // round robin
}

func (s *set) reset() {
	s.members = s.members[:0]
	s.hashes = s.hashes[:0]
	s.present, s.ejected, s.cheapest = 0, 0, 0
}

// add counts the endpoint and makes it a member when it is usable.
func (s *set) add(e *endpoint) {
	if e.leaving {
		return
	}
	s.present++
	if !e.usable() {
		s.ejected++
		return
	}
	s.members = append(s.members, e)
	s.hashes = append(s.hashes, e.hash)
	if p := e.info.HourPrice; p > 0 && (s.cheapest == 0 || p < s.cheapest) {
		s.cheapest = p
	}
}

// price returns the endpoint's price over the cheapest, 1 when not known.
func (s *set) price(e *endpoint) float64 {
	if s.cheapest == 0 || e.info.HourPrice == 0 {
		return 1
	}
	return e.info.HourPrice / s.cheapest
}
