package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// A wave moves many streams with one history at once. Until they are
// dispatched no load shows, and without reservations all would be sent to
// the engine that holds the history.
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
	r.Release(start, "engine-0", "b") // too late: it runs
	assert.Equal(t, free(start), all-1)
	r.Finished(start, "engine-0", "b", Cancelled)
	r.Finished(start, "engine-0", "b", Cancelled)
	r.Reserve(start, "engine-0", "c", 100)
	assert.Equal(t, free(start), all-1)
	assert.Equal(t, free(start.Add(reservationTTL)), all)
}

// The list omits an endpoint for a moment, so its load starts from nothing
// when it is back. The end of a request from before must not take it below,
// or the engine would look emptier than any other for good.
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
