package routing

import "math/rand/v2"

// roundRobin returns the members in turn.
func (s *replicaSet) roundRobin(f filter) *endpoint {
	for range s.members {
		s.cursor++
		if e := s.members[s.cursor%len(s.members)]; f.ok(e) {
			return e
		}
	}
	return nil
}

// leastOutstanding returns the member with the fewest unfinished requests of
// this daemon, and a random one among equals.
func (s *replicaSet) leastOutstanding(f filter, rng *rand.Rand) *endpoint {
	var best *endpoint
	equal := 0
	for _, e := range s.members {
		if !f.ok(e) {
			continue
		}
		if best == nil || e.outstanding() < best.outstanding() {
			best, equal = e, 1
			continue
		}
		if e.outstanding() > best.outstanding() {
			continue
		}
		equal++
		if rng.IntN(equal) == 0 {
			best = e
		}
	}
	return best
}

// randomOfTwo draws two members and returns the one with fewer unfinished
// requests of this daemon.
func (s *replicaSet) randomOfTwo(f filter, rng *rand.Rand) *endpoint {
	first := s.random(f, rng)
	second := s.random(f, rng)
	if first == nil || first.outstanding() <= second.outstanding() {
		return first
	}
	return second
}

// owner returns the first rendezvous choice, whatever its load.
func (s *replicaSet) owner(key uint64, f filter) *endpoint {
	r := s.rank(key, f.ok)
	return r.endpoints[0]
}

// random returns the first member that passes the filter, from a random start.
func (s *replicaSet) random(f filter, rng *rand.Rand) *endpoint {
	start := rng.IntN(len(s.members))
	for i := range s.members {
		if e := s.members[(start+i)%len(s.members)]; f.ok(e) {
			return e
		}
	}
	return nil
}

// outstanding returns the number of this daemon's unfinished requests.
func (e *endpoint) outstanding() int { return e.load.Own().Requests }
