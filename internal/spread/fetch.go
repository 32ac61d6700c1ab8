package spread

// Fetch decides from whom the next piece is asked. It is this daemon's side of
// the spreading.
type Fetch struct {
	have   uint64            // the version in force
	unread uint64            // the newest version that could not be used
	offers map[string]uint64 // the newest version of each source, by address
	whole  bool              // a patch could not be applied: the next one starts from nothing
	part   Piece             // what there is of a patch; Data is all bytes so far
}

// NewFetch returns a Fetch that has nothing.
func NewFetch() *Fetch { return &Fetch{offers: map[string]uint64{}} }

// Heard notes which version a source has.
func (f *Fetch) Heard(address string, version uint64) {
	if version > max(f.have, f.unread) {
		f.offers[address] = version
	}
}

// Has notes the version that is in force. What was begun is dropped where it is
// no newer.
func (f *Fetch) Has(version uint64) {
	if version <= f.have {
		return
	}
	f.have = version
	f.whole = false
	if f.part.Version <= version {
		f.part = Piece{}
	}
	for address, offered := range f.offers {
		if offered <= version {
			delete(f.offers, address)
		}
	}
}

// Next returns whom to ask for what; false where nothing newer is known of. The
// source with the newest version is asked.
func (f *Fetch) Next() (address string, w Want, ok bool) {
	newest := uint64(0)
	for a, version := range f.offers {
		if version > newest || version == newest && a < address {
			address, newest = a, version
		}
	}
	w = Want{Have: f.base(), Version: f.part.Version, Offset: len(f.part.Data)}
	return address, w, newest > 0
}

// base returns the version from which a patch is asked for.
func (f *Fetch) base() uint64 {
	if f.whole {
		return 0
	}
	return f.have
}

// Failed notes that a source didn't answer. It isn't asked again before it is
// heard of again; what came from it is kept.
func (f *Fetch) Failed(address string) { delete(f.offers, address) }

// Took takes a piece from a source. It returns the whole patch when it is
// complete.
func (f *Fetch) Took(address string, p Piece) (done Piece, complete bool) {
	if p.Version <= f.have || p.Base != 0 && p.Base != f.base() {
		f.Failed(address) // it has nothing newer, or answers something else
		return Piece{}, false
	}
	if !f.continues(p) {
		f.part = Piece{Version: p.Version, Base: p.Base, Size: p.Size}
	}
	if p.Offset == len(f.part.Data) {
		f.part.Data = append(f.part.Data, p.Data...)
	}
	if len(f.part.Data) < f.part.Size {
		if len(p.Data) == 0 {
			f.Failed(address)
		}
		return Piece{}, false
	}
	done = f.part
	f.part = Piece{}
	return done, true
}

// continues reports whether a piece belongs to the patch that was begun. Two
// sources make the same patch of the same texts.
func (f *Fetch) continues(p Piece) bool {
	return p.Version == f.part.Version && p.Base == f.part.Base && p.Size == f.part.Size
}

// Unusable notes that the version to which a patch leads could not be put in
// force. The whole text is asked for instead; where that can't be used either, as
// a newer release wrote it, the version is left alone, lest it be fetched again
// for each report.
func (f *Fetch) Unusable(version uint64) {
	if f.whole {
		f.unread = version
		for address, offered := range f.offers {
			if offered <= version {
				delete(f.offers, address)
			}
		}
	}
	f.whole = !f.whole
}
