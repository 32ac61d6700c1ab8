package ledger

import "encoding/hex"

// MarshalText returns the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, d[:]), nil
}

// UnmarshalText reads what MarshalText wrote.
func (d *Digest) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(d) {
		return Error.New("digest has %d characters, not 64", len(text))
	}
	_, err := hex.Decode(d[:], text)
	return Error.Wrap(err)
}
