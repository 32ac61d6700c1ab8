package membership

// MaxDigestPayload bounds Digest.Payload in bytes: it travels on every probe,
// so at 128 bytes it stays below the cost of the rest of the packet.
const MaxDigestPayload = 128

// Digest says how new a daemon's configuration is. Versions only ever rise, so
// a daemon whose sum is lower lacks something, and of two daemons with equal
// sums but different hashes each lacks something.
type Digest struct {
	Version uint64 // sum of the versions of all templates and tombstones
	Hash    uint64 // of all names and versions
	Payload string // opaque to this package, at most MaxDigestPayload bytes
}

// lacks reports whether the holder of d should fetch from the holder of other.
func (d Digest) lacks(other Digest) bool {
	if other.Version != d.Version {
		return other.Version > d.Version
	}
	return other.Hash != d.Hash
}
