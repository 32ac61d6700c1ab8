package routing

import "math"

// maxRanked is the number of rendezvous choices for a prompt. If the first one,
// the owner, is overloaded, requests spill to the second, and so on.
const maxRanked = 4

// ranked holds the best members for a key, best first.
type ranked[S uint64 | float64] struct {
	endpoints [maxRanked]*endpoint
	score     [maxRanked]S
	n         int
}

// rank returns the best members that ok accepts. All daemons with the same
// members rank them identically (rendezvous hashing; Thaler and Ravishankar,
// 1998). An engine with twice the slots comes first for twice as many keys
// (weighted; Schindelhauer and Schomaker, 2005). Within a group, whose weights
// are equal, members rank by their hash alone, so logarithms are computed only
// for the best of each group.
func (s *replicaSet) rank(key uint64, ok func(*endpoint) bool) ranked[float64] {
	var all ranked[float64]
	for i := range s.groups {
		g := &s.groups[i]
		best := g.rank(key, ok)
		for j, e := range best.endpoints[:best.n] {
			all.insert(e, weightedScore(best.score[j], g.weight))
		}
	}
	return all
}

func (g *group) rank(key uint64, ok func(*endpoint) bool) ranked[uint64] {
	var best ranked[uint64]
	least := uint64(0)
	for i, hash := range g.hashes {
		score := mix(key ^ hash)
		if score <= least || !ok(g.members[i]) {
			continue
		}
		best.insert(g.members[i], score)
		if best.n == maxRanked {
			least = best.score[maxRanked-1]
		}
	}
	return best
}

// insert adds a member unless maxRanked members score at least as high.
func (r *ranked[S]) insert(e *endpoint, score S) {
	if r.n == maxRanked && score <= r.score[maxRanked-1] {
		return
	}
	r.n = min(r.n+1, maxRanked)
	i := r.n - 1
	for ; i > 0 && r.score[i-1] < score; i-- {
		r.endpoints[i], r.score[i] = r.endpoints[i-1], r.score[i-1]
	}
	r.endpoints[i], r.score[i] = e, score
}

// weightedScore returns weight / -ln(u), where u is the hash mapped to (0, 1).
func weightedScore(hash uint64, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(hash>>11) + 0.5) * unit
	return weight / -math.Log(u)
}

// mix is the finaliser of splitmix64. It makes a uniform hash of the XOR of two
// hashes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
