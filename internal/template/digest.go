package template

import (
	"fmt"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Digest tells in 16 bytes what a daemon has in force, so that it can ride on
// the messages of the membership. Two daemons with equal digests have the same
// versions of all names, tombstones included; Newest says who is likely behind
// where they differ. The zero Digest comes from a daemon that has nothing to
// offer, because it hasn't caught up itself.
type Digest struct {
	Hash   uint64 // sum of a hash for each name and version
	Newest uint64 // highest version of any name
}

// IsZero reports whether the digest offers nothing.
func (d Digest) IsZero() bool { return d == Digest{} }

// String returns "newest/hash".
func (d Digest) String() string { return fmt.Sprintf("%d/%016x", d.Newest, d.Hash) }

// replace moves a name from one version to a higher. Version 0 is none.
func (d Digest) replace(name string, from, to uint64) Digest {
	if from > 0 {
		d.Hash -= rendezvous.Score(from, name)
	}
	d.Hash += rendezvous.Score(to, name)
	d.Newest = max(d.Newest, to)
	return d
}
