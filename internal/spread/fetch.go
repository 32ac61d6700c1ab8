package spread

// Fetcher decides which source to ask for the next piece. It is the receiving side.
type Fetcher struct {
	current   uint64            // the version in force
	unusable  uint64            // the newest version that could not be applied
	offers    map[string]uint64 // the newest version of each source, by address
	needWhole bool              // a patch could not be applied: ask for the whole text
	partial   Piece             // the patch received so far
}

// NewFetcher returns a Fetcher without any version.
func NewFetcher() *Fetcher { return &Fetcher{offers: map[string]uint64{}} }

// Offered records that a source has a version.
func (f *Fetcher) Offered(address string, version uint64) {
	if version > max(f.current, f.unusable) {
		f.offers[address] = version
	}
}

// Applied records the version that is in force. A fetch of a version that isn't newer
// is abandoned.
func (f *Fetcher) Applied(version uint64) {
	if version <= f.current {
		return
	}
	f.current = version
	f.needWhole = false
	if f.partial.Version <= version {
		f.partial = Piece{}
	}
	for address, offered := range f.offers {
		if offered <= version {
			delete(f.offers, address)
		}
	}
}

// Next returns the source to ask, the one with the newest version, and the request; ok
// is false if no newer version is known.
func (f *Fetcher) Next() (address string, w Want, ok bool) {
	newest := uint64(0)
	for a, version := range f.offers {
		if version > newest || version == newest && a < address {
			address, newest = a, version
		}
	}
	w = Want{Have: f.base(), Version: f.partial.Version, Offset: len(f.partial.Data)}
	return address, w, newest > 0
}

// base returns the version that patches should start from; 0 for the whole text.
func (f *Fetcher) base() uint64 {
	if f.needWhole {
		return 0
	}
	return f.current
}

// Failed records that a source didn't answer. It isn't asked again until its next
// offer; the pieces received from it are kept.
func (f *Fetcher) Failed(address string) { delete(f.offers, address) }

// Received adds a piece from a source. When the patch is complete, it is returned.
func (f *Fetcher) Received(address string, p Piece) (done Piece, complete bool) {
	if p.Version <= f.current || p.Base != 0 && p.Base != f.base() {
		f.Failed(address) // the source has nothing newer, or its answer doesn't match the request
		return Piece{}, false
	}
	if !f.continues(p) {
		f.partial = Piece{Version: p.Version, Base: p.Base, Size: p.Size}
	}
	if p.Offset == len(f.partial.Data) {
		f.partial.Data = append(f.partial.Data, p.Data...)
	}
	if len(f.partial.Data) < f.partial.Size {
		if len(p.Data) == 0 {
			f.Failed(address)
		}
		return Piece{}, false
	}
	done = f.partial
	f.partial = Piece{}
	return done, true
}

// continues reports whether a piece belongs to the patch that is being received.
// Different sources make identical patches from identical texts.
func (f *Fetcher) continues(p Piece) bool {
	return p.Version == f.partial.Version && p.Base == f.partial.Base && p.Size == f.partial.Size
}

// Unusable records that a completed version could not be applied. The whole text is
// fetched next. If that can't be applied either, as a newer release wrote it, the
// version is ignored: otherwise it would be fetched again for each offer.
func (f *Fetcher) Unusable(version uint64) {
	if f.needWhole {
		f.unusable = version
		for address, offered := range f.offers {
			if offered <= version {
				delete(f.offers, address)
			}
		}
	}
	f.needWhole = !f.needWhole
}
