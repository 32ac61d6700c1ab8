package spread

import "slices"

const (
	// maxTexts and maxTotalBytes bound the versions that are kept; daemons with an older
	// one get the whole text. Daemons learn of a version within two rounds of reports, in
	// which few are published. The newest version and the one before are kept whatever
	// their size.
	maxTexts      = 8
	maxTotalBytes = 2 << 20
	// maxPatches bounds the patches that are kept: to the newest text from each other one
	// and from none.
	maxPatches = maxTexts
	// maxPieceBytes bounds a piece, and so what an interrupted call loses: 50 ms on a link
	// of 10 Mbit/s.
	maxPieceBytes = 64 << 10
)

// Source answers daemons that lack the newest version. It is the sending side.
type Source struct {
	texts   []Text  // newest first
	patches []patch // newest first
}

// patch leads from a base to a version.
type patch struct {
	version, base uint64
	bytes         []byte
}

// Add stores a newer version; one that isn't newer is ignored.
func (s *Source) Add(t Text) {
	if len(s.texts) > 0 && t.Version <= s.texts[0].Version {
		return
	}
	s.texts = slices.Insert(s.texts, 0, t)
	total := 0
	for i := range s.texts {
		total += len(s.texts[i].Bytes)
		if i > 1 && (i == maxTexts || total > maxTotalBytes) {
			s.texts = s.texts[:i:i]
			break
		}
	}
}

// Answer returns the requested piece. A fetch of an older version is continued while
// that version is kept; otherwise the piece is the first one of the newest version.
func (s *Source) Answer(w Want) (Piece, error) {
	if len(s.texts) == 0 {
		return Piece{}, nil
	}
	to, kept := s.text(w.Version)
	if w.Version == 0 || !kept {
		to, w.Offset = s.texts[0], 0
	}
	from, _ := s.text(w.Have)
	bytes, err := s.patch(from, to)
	if err != nil {
		return Piece{}, err
	}
	offset := min(max(w.Offset, 0), len(bytes))
	data := bytes[offset:min(offset+maxPieceBytes, len(bytes))]
	return Piece{Version: to.Version, Base: from.Version, Size: len(bytes), Offset: offset, Data: data}, nil
}

// text returns a version if it is kept.
func (s *Source) text(version uint64) (Text, bool) {
	for _, t := range s.texts {
		if t.Version == version {
			return t, true
		}
	}
	return Text{}, false
}

// patch returns the patch from one text to another. It is made once: a whole fleet
// asks for it within a second, and making one takes some milliseconds.
func (s *Source) patch(from, to Text) ([]byte, error) {
	for _, p := range s.patches {
		if p.version == to.Version && p.base == from.Version {
			return p.bytes, nil
		}
	}
	bytes, err := makePatch(from.Bytes, to.Bytes)
	if err != nil {
		return nil, err
	}
	s.patches = slices.Insert(s.patches, 0, patch{to.Version, from.Version, bytes})
	s.patches = s.patches[:min(len(s.patches), maxPatches)]
	return bytes, nil
}
