package membership

// MaxDigestPayload bounds Digest.Payload in bytes. Every packet carries it; at
// 128 bytes it is smaller than the rest of a probe.
const MaxDigestPayload = 128

// Digest summarises a daemon's configuration. Versions only increase, so a
// daemon with a lower sum lacks some change, and of two daemons with equal sums
// and different hashes each lacks a change of the other.
type Digest struct {
	Version uint64 // sum of the versions of all templates and tombstones
	Hash    uint64 // hash of all names and versions
	Payload string // opaque to this package, at most MaxDigestPayload bytes
}

// lacks reports whether the holder of d should fetch from the holder of other.
func (d Digest) lacks(other Digest) bool {
	if other.Version != d.Version {
		return other.Version > d.Version
	}
	return other.Hash != d.Hash
}
