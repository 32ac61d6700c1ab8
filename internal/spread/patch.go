package spread

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
)

// Error is the class of errors made by this package.
var Error = errs.Class("spread")

const (
	// maxTextBytes bounds a text that a patch leads to: eight times what the
	// platform's store holds.
	maxTextBytes = 8 << 20
	// minBaseBytes is the least base that is worth a reference.
	minBaseBytes = 64
)

// dictionaryID is the number of the base within a patch.
const dictionaryID = 1

// makePatch returns what leads from a base to a text. For 4,250 routes of some
// 200 bytes it has 320 bytes where one is new, 22 kB where a third is, and 64 kB
// from the empty base; the slower levels of the encoder gain nothing on the last two.
func makePatch(base, text []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(window(len(base) + len(text))), zstd.WithLowerEncoderMem(true),
	}
	if len(base) >= minBaseBytes {
		options = append(options, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return e.EncodeAll(text, nil), nil
}

// Pack returns a patch from nothing.
func Pack(text []byte) ([]byte, error) { return makePatch(nil, text) }

// window returns how far back a patch may refer, so that all of its base and its
// text is within reach: a power of two.
func window(bytes int) int {
	return min(max(1<<bits.Len(uint(bytes)), zstd.MinWindowSize), maxTextBytes)
}

// Apply returns the text that a patch leads to from a base. A patch of another
// base is an error: it carries a checksum of its text.
func Apply(base, patch []byte) ([]byte, error) {
	options := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxTextBytes)}
	if len(base) >= minBaseBytes {
		options = append(options, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	defer d.Close()
	text, err := d.DecodeAll(patch, nil)
	return text, Error.Wrap(err)
}
