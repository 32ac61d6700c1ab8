package routing

import "github.com/cyclamenbeam/cyclamenbeam/internal/fleet"

// setKey identifies a set of interchangeable endpoints: those that have a model
// with an adapter and version (or any version), or those of a service.
type setKey struct {
	model   fleet.ModelRef
	service string
}

// group holds the members with the same rendezvous weight, and their hashes in
// a slice of their own for a fast scan. There are as few groups as machine
// classes.
type group struct {
	weight  float64
	hashes  []uint64
	members []*endpoint
}

// replicaSet holds the endpoints of one key. Only usable endpoints are members,
// so a pick need not check that; the members are rebuilt when the state of an
// endpoint changes.
type replicaSet struct {
	members       []*endpoint
	groups        []group // members by rendezvous weight
	present       int     // endpoints that are not leaving, with the ejected ones
	ejected       int
	maxTokenPrice float64 // of the members
	cursor        int     // of round robin
}

func (s *replicaSet) reset() {
	s.members = s.members[:0]
	for i := range s.groups {
		g := &s.groups[i]
		g.hashes, g.members = g.hashes[:0], g.members[:0]
	}
	s.present, s.ejected, s.maxTokenPrice = 0, 0, 0
}

// add counts the endpoint and makes it a member if it is usable.
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

// group returns the group of a weight, which it adds if there is none. The
// pointer is valid until the next call.
func (s *replicaSet) group(weight float64) *group {
	for i := range s.groups {
		if s.groups[i].weight == weight {
			return &s.groups[i]
		}
	}
	s.groups = append(s.groups, group{weight: weight})
	return &s.groups[len(s.groups)-1]
}

// saving returns the fraction by which a token is cheaper at the endpoint than
// at the most expensive member, or 0 if the price is unknown.
func (s *replicaSet) saving(e *endpoint) float64 {
	if s.maxTokenPrice == 0 || e.info.HourPrice == 0 {
		return 0
	}
	return 1 - e.tokenPrice()/s.maxTokenPrice
}
