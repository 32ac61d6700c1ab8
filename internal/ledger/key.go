package ledger

import (
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/errs"
)

// Classes of errors of refused keys.
var (
	// ErrMalformed: the key is not a UUIDv7 in its canonical form.
	ErrMalformed = errs.Class("malformed key")
	// ErrExpired: the key is older than the ledger's window, so its record may
	// have been deleted.
	ErrExpired = errs.Class("expired key")
	// ErrFuture: the key's time is more than MaxAhead ahead of the clock.
	ErrFuture = errs.Class("key from the future")
)

const (
	// DefaultWindow is how old a key may be: callers retry within a working day.
	DefaultWindow = 24 * time.Hour
	// MaxAhead is how far a caller's clock may be ahead. A key far ahead would
	// be recorded in a bucket that is deleted long after the others.
	MaxAhead = 5 * time.Minute
	// canonicalLength is the length of a UUID's canonical form in bytes.
	canonicalLength = 36
)

// Key is an idempotency key: a UUIDv7, whose time bounds how long its record is
// kept.
type Key struct {
	ID uuid.UUID
	At time.Time // when the caller made it, to the millisecond
}

// ParseKey parses a caller's key and refuses one outside the ledger's window:
// otherwise a repeat that arrives after the record's deletion would run again.
func ParseKey(now time.Time, s string, window time.Duration) (Key, error) {
	if len(s) != canonicalLength {
		return Key{}, ErrMalformed.New("%d bytes long, not %d", len(s), canonicalLength)
	}
	id, err := uuid.Parse(s)
	if err != nil {
		return Key{}, ErrMalformed.Wrap(err)
	}
	if id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrMalformed.New("UUID version %d, not 7", id.Version())
	}
	k := Key{ID: id, At: timeOf(id)}
	switch age := now.Sub(k.At); {
	case age > window:
		return Key{}, ErrExpired.New("made %s ago, kept for %s", age.Round(time.Second), window)
	case age < -MaxAhead:
		return Key{}, ErrFuture.New("made %s ahead of this clock", (-age).Round(time.Second))
	}
	return k, nil
}

// timeOf reads the 48 bits of Unix milliseconds that a UUIDv7 starts with.
func timeOf(id uuid.UUID) time.Time {
	var millis int64
	for _, b := range id[:6] {
		millis = millis<<8 | int64(b)
	}
	return time.UnixMilli(millis)
}
