package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

func TestFilters(t *testing.T) {
	list := endpoints(4)
	list[1].Models = []fleet.ModelRef{{Model: "m", Adapter: "cane", Version: "2"}}
	list[2].State = fleet.Leaving
	list[3].Kind, list[3].Service, list[3].Models = fleet.ServiceEndpoint, "parts", nil
	cane := fleet.ModelRef{Model: "m", Adapter: "cane"}
	tests := map[string]struct {
		q     Request
		want  fleet.EndpointID
		cause Cause
	}{
		"model":           {q: Request{Model: testModel}, want: "engine-0"},
		"adapter":         {q: Request{Model: cane}, want: "engine-1"},
		"version":         {q: Request{Model: fleet.ModelRef{Model: "m", Adapter: "cane", Version: "2"}}, want: "engine-1"},
		"another version": {q: Request{Model: fleet.ModelRef{Model: "m", Adapter: "cane", Version: "1"}}, cause: NotServed},
		"service":         {q: Request{Service: "parts"}, want: "engine-3"},
		"unknown":         {q: Request{Service: "notices"}, cause: NotServed},
		"tried":           {q: Request{Model: testModel, Exclude: []fleet.EndpointID{"engine-0"}}, cause: AllTried},
		"avoided":         {q: Request{Model: testModel, Avoid: "dc-0"}, want: "engine-0"},
	}
	for name, test := range tests {
		for _, policy := range Policies {
			t.Run(name+"/"+string(policy), func(t *testing.T) {
				c, err := testRouter(1, Config{Policy: policy}, list).Pick(start, &test.q)
				if test.cause != 0 {
					assert.ErrorIs(t, err, NoEndpoint{Cause: test.cause})
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, c.Endpoint, test.want)
			})
		}
	}
}

func TestAvoidedDataCentreIsLastResort(t *testing.T) {
	r := testRouter(1, Config{}, endpoints(8))
	for i := range uint64(50) {
		q := prompt(i, 20)
		q.Avoid = "dc-1"
		c, err := r.Pick(start, q)
		assert.NilError(t, err)
		assert.Assert(t, c.DataCentre != "dc-1")
	}
}

// The instance list lags: after a notice, an older list still reports the
// endpoint as live, a newer one omits it, and then an older one names it again.
// If the notice did not stay in force, requests would go to an instance that is
// about to vanish. Endpoint ids are never reused.
func TestNoticeOverridesStaleLists(t *testing.T) {
	list := endpoints(2)
	r := testRouter(1, Config{}, list)
	r.Notice(start, "engine-0", start.Add(30*time.Second))
	for i, answer := range [][]fleet.Endpoint{list, list[1:], list} {
		now := start.Add(time.Duration(i) * time.Second)
		r.SetEndpoints(now, answer)
		for seed := range uint64(20) {
			c, err := r.Pick(now, prompt(seed, 20))
			assert.NilError(t, err)
			assert.Equal(t, c.Endpoint, fleet.EndpointID("engine-1"))
		}
	}
	r.Notice(start, "engine-1", time.Time{})
	_, err := r.Pick(start, prompt(1, 20))
	assert.ErrorIs(t, err, NoEndpoint{Cause: AllLeaving})
}

func TestPickAllocatesNothing(t *testing.T) {
	r := testRouter(1, Config{}, endpoints(690))
	q := prompt(1, 100)
	allocs := testing.AllocsPerRun(100, func() {
		if _, err := r.Pick(start, q); err != nil {
			t.Fatal(err)
		}
	})
	assert.Equal(t, allocs, 0.0)
}

func TestParsePolicy(t *testing.T) {
	p, err := ParsePolicy("")
	assert.NilError(t, err)
	assert.Equal(t, p, Cyclamenbeam)
	_, err = ParsePolicy("fastest")
	assert.ErrorContains(t, err, "unknown policy")
}

func TestServiceReplicasShareTheLoad(t *testing.T) {
	list := endpoints(3)
	for i := range list {
		list[i].Kind, list[i].Service = fleet.ServiceEndpoint, "parts"
	}
	r := testRouter(1, Config{}, list)
	for seed := range uint64(60) {
		q := &Request{ID: prompt(seed, 0).ID, Service: "parts"}
		c, err := r.Pick(start, q)
		assert.NilError(t, err)
		assert.Assert(t, !c.Overloaded)
		r.Dispatched(start, c.Endpoint, q, c)
	}
	for _, e := range r.byHandle {
		assert.Assert(t, e.outstanding() >= 17 && e.outstanding() <= 23, "%d of 60", e.outstanding())
	}
}
