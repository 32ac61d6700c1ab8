package routing

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// setKey names the endpoints that can stand in for one another: those with a
// model, adapter and version (or any version), or those of a service.
type setKey struct {
	model   fleet.ModelRef
	service string
}

// node is what rendezvous needs of a member.
type node struct {
	hash   uint64
	weight float64
}

// set holds the endpoints of one key. Only usable ones are members, so that a
// pick filters nothing; the lists are rebuilt when an endpoint's state changes.
type set struct {
	members []*endpoint
	nodes   []node // of the members, side by side for the rendezvous scan
	present int    // not leaving
	ejected int
	dearest float64 // token price of the dearest member
	turn    int     // round robin
}

func (s *set) reset() {
	s.members = s.members[:0]
	s.nodes = s.nodes[:0]
	s.present, s.ejected, s.dearest = 0, 0, 0
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
	s.nodes = append(s.nodes, node{hash: e.hash, weight: e.load.Slots()})
	s.dearest = max(s.dearest, e.tokenPrice())
}

// saving returns the share by which the endpoint computes a token more
// cheaply than the dearest member; 0 when its price is not known.
func (s *set) saving(e *endpoint) float64 {
	if s.dearest == 0 || e.info.HourPrice == 0 {
		return 0
	}
	return 1 - e.tokenPrice()/s.dearest
}
