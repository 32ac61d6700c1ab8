// Package rendezvous ranks nodes for a key by highest random weight, so that
// daemons with the same view agree without talking, and a node that comes or
// goes moves only the keys it wins (Thaler and Ravishankar, 1998).
package rendezvous

import (
	"slices"

	"github.com/zeebo/xxh3"
)

// Score returns the weight of node for key; the greatest wins.
func Score(key uint64, node string) uint64 {
	return ScoreHashed(key, xxh3.HashString(node))
}

// ScoreHashed is Score for a node whose name was hashed with Key before.
func ScoreHashed(key, node uint64) uint64 { return mix(key ^ node) }

// Key hashes a string key.
func Key(key string) uint64 { return xxh3.HashString(key) }

// ShortKey is 32 bits of a key, for messages that name hundreds of things: four
// bytes in place of a name's dozen. Among 690 names, two have the same one time
// in 18,000; who reads the message then takes them for one.
type ShortKey uint32

// ShortKeyOf returns a name's short key.
func ShortKeyOf(name string) ShortKey { return ShortKey(Key(name)) }

// mix is the finaliser of splitmix64: it spreads the XOR of two hashes.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Best returns the index of the winning node, -1 when there is none.
func Best(key uint64, nodes []string) int {
	best, at := uint64(0), -1
	for i, n := range nodes {
		if s := Score(key, n); at < 0 || s > best {
			best, at = s, i
		}
	}
	return at
}

// Rank returns the n best nodes, best first, without changing nodes.
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
