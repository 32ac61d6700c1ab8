package audit

import "encoding/base64"

// Hash is a SHA-256 over a chain of entries. The zero Hash stands before the
// first entry.
type Hash [32]byte

// String returns the hash in unpadded URL base64.
func (h Hash) String() string { return base64.RawURLEncoding.EncodeToString(h[:]) }

// MarshalText returns String.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText accepts what String returns.
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
