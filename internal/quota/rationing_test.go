package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

const updateInterval = 250 * time.Millisecond

// Guards against the mean demand of a silence that outweighs the demand after it.
func TestSilenceOfTheHubsDoesNotOutweighTheDemandAfterIt(t *testing.T) {
	r := newRationing(start, &priorities{}, floorShare)
	now, total := start, Asked{}
	run := func(d time.Duration, perSecond float64) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(updateInterval)
			total.Amount += perSecond * updateInterval.Seconds()
			total.Requests++
			r.update(now, "hub", updateInterval, Demand{"r": total})
		}
	}
	rate := func() float64 { return r.routes["r"].rate(r.all.seconds, r.alone.seconds, false).Amount }
	run(5*time.Second, 1000)
	assert.Assert(t, rate() > 999 && rate() < 1001, "%v", rate())
	now = now.Add(30 * time.Second)
	run(3*time.Second, 1000)
	assert.Assert(t, rate() > 800, "%v", rate())
}

// Guards against a Retry-After by the hubs' last sums at a daemon without updates.
func TestRefusedRouteWithoutUpdatesIsToldByItsOwnPart(t *testing.T) {
	routes := routesOf(0, 1, 2)
	q := New(false, Tolerance{Amount: 100, Share: 0.1, Window: 8 * time.Second})
	q.SetRandom(rand.New(rand.NewPCG(7, 7)))
	q.Configure(start, &route.Table{Routes: routes, Workspaces: []route.Workspace{limited}})
	d := newDriver(q, &limited, routes, 8)
	d.silent = true
	d.run(1500)
	// A tenth of the limit, of which the route gets at least a ninth: 11 a second.
	for range 100 {
		d.now = d.now.Add(10 * time.Millisecond)
		if wait, ok := q.passes(d.now, &limited, &routes[2], q.buckets["w"], d.cost); !ok {
			assert.Assert(t, wait > 0 && wait < 2*time.Second, "%v", wait)
			return
		}
	}
	t.Fatal("no request was refused")
}

// Guards against state of routes that hubs name and the configuration lacks.
func TestRoutesThatNobodyNamesAreDropped(t *testing.T) {
	r := newRationing(start, &priorities{}, floorShare)
	now := start
	r.route("own").ask(10)
	for i := range 100 {
		now = now.Add(time.Second)
		r.update(now, "earlier release", time.Second, nil)
		r.update(now, "hub", time.Second, Demand{"r": {Amount: float64(i), Requests: uint64(i)}, fmt.Sprint("other", i): {Amount: 1, Requests: 1}})
	}
	assert.Assert(t, len(r.routes) <= 14, "%d routes", len(r.routes))
	assert.Assert(t, r.routes["own"] != nil && r.routes["r"].othersAmount.applied == 99)
}

// Guards against a huge mean cost where an amount is known before its number of requests.
func TestAmountOfNoRequestHasABoundedCost(t *testing.T) {
	demands := []RouteDemand{{Priority: 0, Amount: 3000}, {Priority: 1, Amount: 100}}
	assert.Assert(t, passingCost(demands, []float64{0.5, 0.1}) <= 10*3100)
	demands[0].Requests = 3
	assert.Equal(t, passingCost(demands[:1], []float64{1}), 1000.0)
}

// Guards against a lower priority served before a higher one, where their services overlap in part.
func TestRoutesThatShareAServiceAreOrdered(t *testing.T) {
	backends := func(services ...string) []route.Backend {
		var out []route.Backend
		for _, s := range services {
			out = append(out, route.Backend{Service: s, Weight: 1})
		}
		return out
	}
	routes := routesOf(0, 1, 1, 2, 3)
	routes[4].Backends, routes[4].Public = backends("engine", "plain"), true
	routes[0].Backends = backends("engine")
	routes[1].Backends = backends("engine", "canary")
	routes[2].Backends = backends("plain")
	routes[3].Backends = backends("canary")
	p := newPriorities(&route.Table{Routes: routes})
	assert.Equal(t, p.services["r1"], p.services["r0"])
	assert.Equal(t, p.services["r3"], p.services["r0"])
	assert.Assert(t, p.services["r2"] != p.services["r0"])
	shares := Shares(100, []RouteDemand{
		{Priority: 0, Services: p.services["r0"], Amount: 200, Requests: 2},
		{Priority: 1, Services: p.services["r1"], Amount: 200, Requests: 200},
	})
	assert.DeepEqual(t, shares, []float64{0.25, 0.25})
}
