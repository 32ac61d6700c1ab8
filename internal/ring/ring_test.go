package ring

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestOfferRefusesWhenFull(t *testing.T) {
	r := New[int]("t", 2)
	assert.Assert(t, r.Offer(1))
	assert.Assert(t, r.Offer(2))
	assert.Assert(t, !r.Offer(3))
	assert.Equal(t, r.Refused(), uint64(1))
	assert.Equal(t, <-r.C(), 1)
}

func TestPushDropsOldest(t *testing.T) {
	r := New[int]("t", 2)
	for i := 1; i <= 4; i++ {
		r.Push(i)
	}
	assert.Equal(t, r.Drops(), uint64(2))
	assert.Equal(t, <-r.C(), 3)
	assert.Equal(t, <-r.C(), 4)
}
