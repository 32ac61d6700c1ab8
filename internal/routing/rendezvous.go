package routing

import "math"

// ranks is how many rendezvous choices of a prompt are candidates: with an
// owner overloaded the second takes its spill, and so on.
const ranks = 4

// ranked holds the best members for a key, best first.
type ranked[S uint64 | float64] struct {
	at    [ranks]*endpoint
	score [ranks]S
	n     int
}

// rank finds the best members that ok accepts. Any daemon with the same
// members ranks them alike (Thaler and Ravishankar, 1998); an engine with
// twice the slots wins twice as many keys (weighted: Schindelhauer and
// Schomaker, 2005). Within a group of one weight the greatest hash wins, so
// that logarithms are taken only of the groups' best.
func (s *set) rank(key uint64, ok func(*endpoint) bool) ranked[float64] {
	var all ranked[float64]
	for i := range s.groups {
		g := &s.groups[i]
		best := g.rank(key, ok)
		for j, e := range best.at[:best.n] {
			all.insert(e, weigh(best.score[j], g.weight))
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
		if best.n == ranks {
			least = best.score[ranks-1]
		}
	}
	return best
}

// insert adds a member unless there are enough better ones.
func (r *ranked[S]) insert(e *endpoint, score S) {
	if r.n == ranks && score <= r.score[ranks-1] {
		return
	}
	r.n = min(r.n+1, ranks)
	i := r.n - 1
	for ; i > 0 && r.score[i-1] < score; i-- {
		r.at[i], r.score[i] = r.at[i-1], r.score[i-1]
	}
	r.at[i], r.score[i] = e, score
}

// weigh returns weight / -ln(u) of the number u in (0,1) that the hash stands for.
func weigh(hash uint64, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(hash>>11) + 0.5) * unit
	return weight / -math.Log(u)
}

// mix is the finaliser of splitmix64: it spreads the XOR of two hashes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
