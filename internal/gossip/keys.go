package gossip

import (
	"bytes"
	"crypto/aes"
	"crypto/cipher"
	"crypto/rand"

	"github.com/zeebo/errs"

	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// KeyBytes is the size of a key: AES-256.
const KeyBytes = 32

// Error is the class of errors made by this package.
var Error = errs.Class("gossip")

// Keys are the encryption keys of the fleet, of KeyBytes each. To replace a key without
// losing datagrams, add the new one as Secondary on all daemons, then swap the two on
// all daemons, then remove the old one.
type Keys struct {
	Primary   []byte // seals and opens; if empty, datagrams are not encrypted
	Secondary []byte // opens only; may be empty
}

func (k Keys) equal(other Keys) bool {
	return bytes.Equal(k.Primary, other.Primary) && bytes.Equal(k.Secondary, other.Secondary)
}

// Versions of the datagram format, sent as its first byte.
const (
	plainVersion  = 1
	sealedVersion = 2
)

// Sizes of the parts that sealing adds to a datagram. With the version byte, they must
// not exceed membership.SealOverhead, or packets become larger than their bound.
const (
	nonceBytes = 12
	tagBytes   = 16
)

var _ [membership.SealOverhead - (1 + nonceBytes + tagBytes)]struct{}

// sealer encrypts (seals) and decrypts (opens) datagrams. It is immutable.
type sealer struct {
	keys  Keys
	aeads []cipher.AEAD // primary first; if empty, datagrams are not encrypted
}

func newSealer(keys Keys) (*sealer, error) {
	s := &sealer{keys: Keys{Primary: bytes.Clone(keys.Primary), Secondary: bytes.Clone(keys.Secondary)}}
	for _, key := range [][]byte{keys.Primary, keys.Secondary} {
		if len(key) == 0 {
			continue
		}
		aead, err := newAEAD(key)
		if err != nil {
			return nil, err
		}
		s.aeads = append(s.aeads, aead)
	}
	if len(keys.Primary) == 0 && len(keys.Secondary) > 0 {
		return nil, Error.New("a secondary key needs a primary one")
	}
	return s, nil
}

func newAEAD(key []byte) (cipher.AEAD, error) {
	if len(key) != KeyBytes {
		return nil, Error.New("key has %d bytes, want %d", len(key), KeyBytes)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	aead, err := cipher.NewGCM(block)
	return aead, Error.Wrap(err)
}

// seal appends the datagram for content to dst.
func (s *sealer) seal(dst, content []byte) []byte {
	if len(s.aeads) == 0 {
		dst = append(dst, plainVersion)
		return append(dst, content...)
	}
	dst = append(dst, sealedVersion)
	var nonce [nonceBytes]byte
	rand.Read(nonce[:]) // documented never to fail
	dst = append(dst, nonce[:]...)
	return s.aeads[0].Seal(dst, nonce[:], content, []byte{sealedVersion})
}

// open returns the content of a datagram. If keys are set, a plain datagram is
// rejected; otherwise anyone could forge one.
func (s *sealer) open(datagram []byte) ([]byte, error) {
	if len(datagram) == 0 {
		return nil, Error.New("empty datagram")
	}
	version, rest := datagram[0], datagram[1:]
	if len(s.aeads) == 0 {
		if version != plainVersion {
			return nil, Error.New("version %d without a key", version)
		}
		return rest, nil
	}
	if version != sealedVersion || len(rest) < nonceBytes+tagBytes {
		return nil, Error.New("version %d with %d bytes is not sealed", version, len(datagram))
	}
	for _, aead := range s.aeads {
		content, err := aead.Open(nil, rest[:nonceBytes], rest[nonceBytes:], datagram[:1])
		if err == nil {
			return content, nil
		}
	}
	return nil, Error.New("sealed with another key")
}
