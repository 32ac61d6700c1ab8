// Package rendezvous implements rendezvous hashing (highest random weight, Thaler
// and Ravishankar, 1998): daemons with the same list of nodes agree on the node of
// a key without communication, and a node that is added or removed moves only its
// own keys.
package rendezvous

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Score returns the weight of node for key; the node with the highest one wins.
func Score(key uint64, node string) uint64 {
	return ScoreHashed(key, xxh3.HashString(node))
}

// ScoreHashed is Score for a node whose name has already been hashed with Key.
func ScoreHashed(key, node uint64) uint64 { return mix(key ^ node) }

// Key hashes a string key.
func Key(key string) uint64 { return xxh3.HashString(key) }

// ShortKey is 32 bits of a key. It replaces names in messages that list hundreds of
// them: four bytes instead of about a dozen. Among 690 names, the probability of a
// collision is 1 in 18,000; receivers then treat the two names as one.
type ShortKey uint32

// ShortKeyOf returns the short key of a name.
func ShortKeyOf(name string) ShortKey { return ShortKey(Key(name)) }

// mix is the finaliser of splitmix64. It makes the XOR of two hashes uniform.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Best returns the index of the winning node, -1 if there are no nodes.
func Best(key uint64, nodes []string) int {
	best, at := uint64(0), -1
	for i, n := range nodes {
		if s := Score(key, n); at < 0 || s > best {
			best, at = s, i
		}
	}
	return at
}

// Rank returns the n nodes with the highest scores, best first. It doesn't change
// nodes.
func Rank(key uint64, nodes []string, n int) []string {
	ranked := slices.Clone(nodes)
	slices.SortFunc(ranked, func(a, b string) int {
		sa, sb := Score(key, a), Score(key, b)
		switch {
		case sa > sb:
			return -1
		case sa < sb:
			return 1
		default:
			return 0
		}
	})
	return ranked[:min(n, len(ranked))]
}
