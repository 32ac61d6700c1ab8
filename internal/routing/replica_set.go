package routing

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// setKey names the endpoints that can stand in for one another: those with a
// model, adapter and version (or any version), or those of a service.
type setKey struct {
	model   fleet.ModelRef
	service string
}

// group holds the members of one rendezvous weight, their hashes side by
// side. Machine classes are few, so groups are.
type group struct {
	weight  float64
	hashes  []uint64
	members []*endpoint
}

// replicaSet holds the endpoints of one key. Only usable ones are members, so that a
// pick filters nothing; the lists are rebuilt when an endpoint's state changes.
type replicaSet struct {
	members       []*endpoint
	groups        []group // the members by rendezvous weight
	present       int     // not leaving
	ejected       int
	maxTokenPrice float64 // token price of the dearest member
	cursor        int     // round robin
}

func (s *replicaSet) reset() {
	s.members = s.members[:0]
	for i := range s.groups {
		g := &s.groups[i]
		g.hashes, g.members = g.hashes[:0], g.members[:0]
	}
	s.present, s.ejected, s.maxTokenPrice = 0, 0, 0
}

// add counts the endpoint and makes it a member when it is usable.
func (s *replicaSet) add(e *endpoint) {
	if e.leaving {
		return
	}
	s.present++
	if !e.usable() {
		s.ejected++
		return
	}
	s.members = append(s.members, e)
	g := s.group(e.load.Slots())
	g.hashes = append(g.hashes, e.hash)
	g.members = append(g.members, e)
	s.maxTokenPrice = max(s.maxTokenPrice, e.tokenPrice())
}

// group returns the group of a weight.
func (s *replicaSet) group(weight float64) *group {
	for i := range s.groups {
		if s.groups[i].weight == weight {
			return &s.groups[i]
		}
	}
	s.groups = append(s.groups, group{weight: weight})
	return &s.groups[len(s.groups)-1]
}

// saving returns the share by which the endpoint computes a token more
// cheaply than the dearest member; 0 when its price is not known.
func (s *replicaSet) saving(e *endpoint) float64 {
	if s.maxTokenPrice == 0 || e.info.HourPrice == 0 {
		return 0
	}
	return 1 - e.tokenPrice()/s.maxTokenPrice
}
