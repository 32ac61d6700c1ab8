package membership

import (
	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// BucketCount is the number of parts in which two member tables are compared:
// with 340 members most parts have one or none, so little more is fetched than
// what differs, and a byte for each part's hash leaves half of a packet free.
const BucketCount = 512

// buckets are hashes of the live part of the member table, kept up to date by
// XOR. Gone members count nothing, so that forgetting one changes no hash, and
// suspicion counts nothing, so that it causes no comparison of tables.
type buckets struct {
	sums  [BucketCount]uint64
	total uint64
}

func bucketOf(id fleet.InstanceID) int { return int(xxh3.HashString(string(id)) % BucketCount) }

// toggle adds or takes away a member's contribution.
func (b *buckets) toggle(id fleet.InstanceID, hash uint64) {
	b.sums[bucketOf(id)] ^= hash
	b.total ^= hash
}

// hashes returns a byte for each part. Of 256 parts that differ one seems equal;
// with another salt for each comparison it will not be the same one again.
func (b *buckets) hashes(salt uint32) []byte {
	hashes := make([]byte, BucketCount)
	for i, sum := range b.sums {
		if sum != 0 {
			hashes[i] = byte(mix(sum ^ uint64(salt)))
		}
	}
	return hashes
}

// contribution hashes what daemons must agree on for a live member; 0 when it
// is gone, alone or with its data centre.
func (n *node) contribution() uint64 {
	if n.effectiveState().Terminal() {
		return 0
	}
	x := xxh3.HashString(string(n.instance))
	x = mix(x ^ n.incarnation)
	return mix(x ^ uint64(n.run)<<8 ^ uint64(n.state.cleared()))
}

// mix is the finaliser of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rehash brings the buckets up to date after a change of n.
func (m *Membership) rehash(n *node) {
	m.buckets.toggle(n.instance, n.hash)
	n.hash = n.contribution()
	m.buckets.toggle(n.instance, n.hash)
}

// tableHash covers members and data centres.
func (m *Membership) tableHash() uint64 {
	h := m.buckets.total
	for _, d := range m.dataCentres {
		if d.version > 0 {
			h ^= mix(xxh3.HashString(string(d.name)) ^ d.version)
		}
	}
	return h
}
