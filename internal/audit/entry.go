package audit

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"time"
	"unicode/utf8"
)

// Action is what a change did to the object.
type Action string

const (
	Created Action = "created" // also over the tombstone of a deleted object
	Amended Action = "amended"
	Deleted Action = "deleted"
)

// Limits of the lengths of an entry's texts, in bytes.
const (
	MaxWhoBytes       = 64
	MaxWhyBytes       = 512
	MaxOperationBytes = 64
)

// Entry records one change. The store assigns the new version when it accepts
// the write, so an entry can't contain it. It contains the version that the
// change replaced; the version that it made is the next entry's From.
type Entry struct {
	Who       string `json:"who"`  // the operator's name, from a verified credential
	When      int64  `json:"when"` // Unix milliseconds, by the clock of the daemon that wrote it
	Action    Action `json:"action,omitempty"`
	From      uint64 `json:"from"` // version that the change replaced, 0 if there was none
	Why       string `json:"why,omitempty"`
	Digest    string `json:"digest"`    // of the object's new state, see Digest
	Operation string `json:"operation"` // id of the change, the same for its repetitions
}

// Time returns When as a time.Time.
func (e Entry) Time() time.Time { return time.UnixMilli(e.When) }

// Check returns an error if Who, Why or Operation is not UTF-8 or its length is
// out of bounds.
func (e Entry) Check() error {
	switch {
	case e.Who == "" || len(e.Who) > MaxWhoBytes:
		return Error.New("who: 1 to %d bytes are needed", MaxWhoBytes)
	case len(e.Why) > MaxWhyBytes:
		return Error.New("why: more than %d bytes", MaxWhyBytes)
	case e.Operation == "" || len(e.Operation) > MaxOperationBytes:
		return Error.New("operation: 1 to %d bytes are needed", MaxOperationBytes)
	case !utf8.ValidString(e.Who) || !utf8.ValidString(e.Why) || !utf8.ValidString(e.Operation):
		return Error.New("texts must be UTF-8")
	}
	return nil
}

// Digest returns the SHA-256 of a state's encoding, in unpadded URL base64.
func Digest(state []byte) string {
	sum := sha256.Sum256(state)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

// maxFixedBytes is an upper bound of the size of an entry's keys, numbers, action
// and digest in JSON.
const maxFixedBytes = 220

// maxEncodedBytes returns an upper bound of the entry's size in JSON.
func (e Entry) maxEncodedBytes() int {
	return maxFixedBytes + maxEscapedBytes(e.Who) + maxEscapedBytes(e.Why) + maxEscapedBytes(e.Operation)
}

// maxEscapedBytes returns an upper bound of the size of a text in a JSON string,
// without the quotes.
func maxEscapedBytes(text string) int {
	size := 0
	for i := range len(text) {
		switch c := text[i]; {
		case c < ' ', c == '<', c == '>', c == '&', c == 0x7f:
			size += len(`\u0000`)
		case c == '"', c == '\\', c >= 0x80:
			size += 2
		default:
			size++
		}
	}
	return size
}

// chainHash returns the chained hash of the entries up to e: the SHA-256 of the
// hash before e and e's fields. Each text has its length in front, so that no two
// entries have the same encoding.
func (e Entry) chainHash(before Hash) Hash {
	buf := make([]byte, 0, 512)
	buf = append(buf, before[:]...)
	buf = binary.BigEndian.AppendUint64(buf, uint64(e.When))
	buf = binary.BigEndian.AppendUint64(buf, e.From)
	for _, text := range [...]string{e.Who, string(e.Action), e.Why, e.Digest, e.Operation} {
		buf = binary.BigEndian.AppendUint32(buf, uint32(len(text)))
		buf = append(buf, text...)
	}
	return sha256.Sum256(buf)
}
