package routing

import "math"

// ranks is how many rendezvous choices of a prompt are candidates: with an
// owner overloaded the second takes its spill, and so on.
const ranks = 4

// ranked is a set's best members for a key, best first.
type ranked struct {
	at    [ranks]*endpoint
	score [ranks]float64
	n     int
}

// rank finds the best members that ok accepts. Any daemon with the same
// members ranks them alike (Thaler and Ravishankar, 1998); an engine with
// twice the slots wins twice as many keys (weighted: Schindelhauer and
// Schomaker, 2005).
func (s *set) rank(key uint64, ok func(*endpoint) bool) ranked {
	var r ranked
	for i, node := range s.nodes {
		score := weigh(mix(key^node.hash), node.weight)
		if r.n == ranks && score <= r.score[ranks-1] {
			continue
		}
		if ok(s.members[i]) {
			r.insert(s.members[i], score)
		}
	}
	return r
}

func (r *ranked) insert(e *endpoint, score float64) {
	if r.n < ranks {
		r.n++
	}
	i := r.n - 1
	for ; i > 0 && r.score[i-1] < score; i-- {
		r.at[i], r.score[i] = r.at[i-1], r.score[i-1]
	}
	r.at[i], r.score[i] = e, score
}

// mix is the finaliser of splitmix64: it spreads the XOR of two hashes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// weigh returns weight / -ln(u) of the number u in (0,1) that the hash stands for.
func weigh(hash uint64, weight float64) float64 {
	const unit = 1.0 / (1 << 53)
	u := (float64(hash>>11) + 0.5) * unit
	return weight / -math.Log(u)
}
