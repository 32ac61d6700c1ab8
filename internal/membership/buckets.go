package membership

import (
	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// BucketCount is the number of buckets in which two member tables are compared.
// With 340 members most buckets hold one member or none, so little more is
// fetched than what differs, and hashes of one byte leave half of a packet free.
const BucketCount = 512

// buckets holds hashes of the members that are not gone, updated incrementally
// by XOR. Gone members are left out, so that removing them from the table changes
// no hash. Suspicion is left out, so that it triggers no comparison of tables.
type buckets struct {
	sums  [BucketCount]uint64
	total uint64
}

func bucketOf(id fleet.InstanceID) int { return int(xxh3.HashString(string(id)) % BucketCount) }

// toggle adds a member's contribution, or removes it if it was added before.
func (b *buckets) toggle(id fleet.InstanceID, hash uint64) {
	b.sums[bucketOf(id)] ^= hash
	b.total ^= hash
}

// hashes returns a hash of one byte for each bucket; 0 if it is empty. One in 256
// buckets that differ compares as equal; a new salt for each comparison keeps it
// from being the same bucket each time.
func (b *buckets) hashes(salt uint32) []byte {
	hashes := make([]byte, BucketCount)
	for i, sum := range b.sums {
		if sum != 0 {
			hashes[i] = byte(mix(sum ^ uint64(salt)))
		}
	}
	return hashes
}

// contribution returns the hash of what daemons must agree on about a member; 0
// if it is gone, alone or with its data centre.
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

// rehash updates the buckets after a change of n.
func (m *Membership) rehash(n *node) {
	m.buckets.toggle(n.instance, n.hash)
	n.hash = n.contribution()
	m.buckets.toggle(n.instance, n.hash)
}

// tableHash returns the hash of all members that are not gone and of the
// versions of the data centres.
func (m *Membership) tableHash() uint64 {
	h := m.buckets.total
	for _, d := range m.dataCentres {
		if d.version > 0 {
			h ^= mix(xxh3.HashString(string(d.name)) ^ d.version)
		}
	}
	return h
}
