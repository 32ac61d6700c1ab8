package ledger

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

var t0 = time.Unix(1_760_000_000, 0)

// uuidAt returns the n-th UUIDv7 of a millisecond.
func uuidAt(at time.Time, n byte) uuid.UUID {
	var id uuid.UUID
	millis := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(millis >> (40 - 8*i))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id
}

func keyAt(at time.Time, n byte) Key { return Key{ID: uuidAt(at, n), At: at} }

// Guards against a request that runs twice because it is repeated with a key so
// old that its record has been deleted. Such keys must be refused, and so must
// keys far ahead of the clock, whose records would be kept for longer.
func TestKeysOutsideTheWindowAreRefused(t *testing.T) {
	parse := func(at time.Time) error {
		_, err := ParseKey(t0, uuidAt(at, 1).String(), DefaultWindow)
		return err
	}
	assert.NilError(t, parse(t0))
	assert.NilError(t, parse(t0.Add(-DefaultWindow)))
	assert.NilError(t, parse(t0.Add(MaxAhead)))
	assert.Assert(t, ErrExpired.Has(parse(t0.Add(-DefaultWindow-time.Millisecond))))
	assert.Assert(t, ErrFuture.Has(parse(t0.Add(MaxAhead+time.Millisecond))))
	for _, bad := range []string{"", "x", uuid.NewString(), "{" + uuidAt(t0, 1).String() + "}", "urn:uuid:" + uuidAt(t0, 1).String()} {
		_, err := ParseKey(t0, bad, DefaultWindow)
		assert.Assert(t, ErrMalformed.Has(err), bad)
	}
	k, err := ParseKey(t0, uuidAt(t0, 1).String(), DefaultWindow)
	assert.NilError(t, err)
	assert.Equal(t, k.At.UnixMilli(), t0.UnixMilli())
}

// An object may be deleted only once every key in it is refused by age.
func TestOnlyExpiredObjectsAreDeleted(t *testing.T) {
	k := keyAt(t0, 1)
	for _, name := range []string{keyName("w", k), segmentName(3, bucketOf(k), 0)} {
		assert.Assert(t, !Expired(t0.Add(DefaultWindow), name, DefaultWindow))
		assert.Assert(t, Expired(t0.Add(DefaultWindow+sweepMargin+2*BucketSpan), name, DefaultWindow))
	}
	assert.Assert(t, !Expired(t0, "other", DefaultWindow))
	assert.Assert(t, !Expired(t0, "k.x.y", DefaultWindow))
}
