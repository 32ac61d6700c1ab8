package spread

import (
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("spread")

const (
	// maxTextBytes bounds the text that a patch may expand to: eight times what the
	// platform's store accepts.
	maxTextBytes = 8 << 20
	// minBaseBytes is the smallest base that is used as a dictionary.
	minBaseBytes = 64
)

// dictionaryID identifies the base within a patch.
const dictionaryID = 1

// makePatch returns a patch from a base to a text: the text compressed with the base
// as the dictionary. For 4,250 routes of some 200 bytes each it has 320 bytes if one
// route is new, 22 kB if a third is new, and 64 kB without a base. Slower levels of
// the encoder don't make the last two smaller.
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

// Pack returns a patch without a base.
func Pack(text []byte) ([]byte, error) { return makePatch(nil, text) }

// window returns the compression window in bytes: a power of two that covers both base
// and text, up to maxTextBytes.
func window(bytes int) int {
	return min(max(1<<bits.Len(uint(bytes)), zstd.MinWindowSize), maxTextBytes)
}

// Apply returns the text that a patch makes from a base. A patch made from another
// base is an error: it contains a checksum of its text.
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
