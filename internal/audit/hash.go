package audit

import "encoding/base64"

// Hash is the SHA-256 of a chain of entries, see Trail.Head. The hash before the
// first entry is the zero Hash.
type Hash [32]byte

// String returns the hash in unpadded URL base64.
func (h Hash) String() string { return base64.RawURLEncoding.EncodeToString(h[:]) }

// MarshalText returns the text of String.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses the text of String.
func (h *Hash) UnmarshalText(text []byte) error {
	raw, err := base64.RawURLEncoding.Strict().DecodeString(string(text))
	if err != nil {
		return Error.Wrap(err)
	}
	if len(raw) != len(h) {
		return Error.New("a hash has %d bytes, not %d", len(h), len(raw))
	}
	copy(h[:], raw)
	return nil
}
