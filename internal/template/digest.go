package template

import (
	"fmt"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Digest summarises in 16 bytes what a daemon has in force, small enough to be
// piggybacked on membership messages. Two daemons with equal digests have the
// same versions of all names, tombstones included. Where digests differ, the
// daemon with the lower Newest is probably behind. A daemon that hasn't caught
// up itself, and so can serve no peer, sends the zero Digest.
type Digest struct {
	Hash   uint64 // sum of a hash for each name and version
	Newest uint64 // highest version of any name
}

// IsZero reports whether the digest is that of a daemon that hasn't caught up.
func (d Digest) IsZero() bool { return d == Digest{} }

// String returns "newest/hash".
func (d Digest) String() string { return fmt.Sprintf("%d/%016x", d.Newest, d.Hash) }

// replace returns the digest after a name went from one version to a higher
// one. Version 0 is none.
func (d Digest) replace(name string, from, to uint64) Digest {
	if from > 0 {
		d.Hash -= rendezvous.Score(from, name)
	}
	d.Hash += rendezvous.Score(to, name)
	d.Newest = max(d.Newest, to)
	return d
}
