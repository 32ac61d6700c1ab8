package spread

// Fetcher decides from whom the next piece is asked. It is this daemon's side of
// the spreading.
type Fetcher struct {
	current   uint64            // the version in force
	unusable  uint64            // the newest version that could not be used
	offers    map[string]uint64 // the newest version of each source, by address
	needWhole bool              // a patch could not be applied: the next one starts from nothing
	partial   Piece             // what there is of a patch; Data is all bytes so far
}

// NewFetcher returns a Fetch that has nothing.
func NewFetcher() *Fetcher { return &Fetcher{offers: map[string]uint64{}} }

// Offered notes which version a source has.
func (f *Fetcher) Offered(address string, version uint64) {
	if version > max(f.current, f.unusable) {
		f.offers[address] = version
	}
}

// Applied notes the version that is in force. What was begun is dropped where it is
// no newer.
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

// Next returns whom to ask for what; false where nothing newer is known of. The
// source with the newest version is asked.
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

// base returns the version from which a patch is asked for.
func (f *Fetcher) base() uint64 {
	if f.needWhole {
		return 0
	}
	return f.current
}

// Failed notes that a source didn't answer. It isn't asked again before it is
// heard of again; what came from it is kept.
func (f *Fetcher) Failed(address string) { delete(f.offers, address) }

// Received takes a piece from a source. It returns the whole patch when it is
// complete.
func (f *Fetcher) Received(address string, p Piece) (done Piece, complete bool) {
	if p.Version <= f.current || p.Base != 0 && p.Base != f.base() {
		f.Failed(address) // it has nothing newer, or answers something else
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

// continues reports whether a piece belongs to the patch that was begun. Two
// sources make the same patch of the same texts.
func (f *Fetcher) continues(p Piece) bool {
	return p.Version == f.partial.Version && p.Base == f.partial.Base && p.Size == f.partial.Size
}

// Unusable notes that the version to which a patch leads could not be put in
// force. The whole text is asked for instead; where that can't be used either, as
// a newer release wrote it, the version is left alone, lest it be fetched again
// for each report.
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
