package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Many streams with the same history move at once. They add no load before they
// are dispatched, so without reservations all would move to the engine that holds
// the history.
func TestReservationsSpreadConcurrentMoves(t *testing.T) {
	r := testRouter(1, Config{}, endpoints(6))
	moved := map[fleet.EndpointID]int{}
	for i := range uint64(60) {
		q := prompt(1, 40)
		q.ID = fleet.RequestID(rune('a' + i))
		c, err := r.PickAndReserve(start, q)
		assert.NilError(t, err)
		moved[c.Endpoint]++
	}
	for id, n := range moved {
		assert.Assert(t, n <= 20, "%d to %s", n, id)
	}
	assert.Assert(t, len(moved) >= 4)
}

func TestReservationEnds(t *testing.T) {
	r := testRouter(1, Config{}, endpoints(1))
	q := prompt(1, 40)
	free := func(now time.Time) int { return r.Destinations(now, q, 5, nil)[0].Free }
	all := free(start)
	r.Reserve(start, "engine-0", "a", 100)
	r.Reserve(start, "engine-0", "a", 100)
	r.Reserve(start, "engine-0", "b", 100)
	assert.Equal(t, free(start), all-2)
	r.Release(start, "engine-0", "a")
	r.Release(start, "engine-0", "a")
	assert.Equal(t, free(start), all-1)
	c, err := r.Pick(start, q)
	assert.NilError(t, err)
	q.ID = "b"
	r.Dispatched(start, "engine-0", q, c)
	assert.Equal(t, free(start), all-1)
	r.Release(start, "engine-0", "b") // already dispatched: no effect
	assert.Equal(t, free(start), all-1)
	r.Finished(start, "engine-0", "b", Cancelled)
	r.Finished(start, "engine-0", "b", Cancelled)
	r.Reserve(start, "engine-0", "c", 100)
	assert.Equal(t, free(start), all-1)
	assert.Equal(t, free(start.Add(reservationTTL)), all)
}

// A list omits an endpoint and the next one names it again, so its load restarts
// from zero. The end of a request dispatched before must not make the load
// negative, or the engine would appear emptier than all others for ever.
func TestEndOfDroppedAttemptIsIgnored(t *testing.T) {
	list := endpoints(2)
	r := testRouter(1, Config{}, list)
	q := prompt(1, 40)
	r.Dispatched(start, "engine-0", q, Choice{})
	r.SetEndpoints(start, list[1:])
	r.SetEndpoints(start, list)
	r.Finished(start, "engine-0", q.ID, Answered)
	assert.Equal(t, r.endpoints["engine-0"].outstanding(), 0)
}
