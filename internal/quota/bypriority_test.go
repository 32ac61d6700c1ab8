package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// limited is a workspace whose limit is a thousand a second.
var limited = route.Workspace{Name: "w", Rate: 1000, Burst: 1000}

// routesOf returns routes with these priorities, named r0, r1 and so on.
func routesOf(priorities ...int) []route.Route {
	out := make([]route.Route, len(priorities))
	for i, p := range priorities {
		out[i] = route.Route{Name: fmt.Sprint("r", i), Priority: p}
	}
	return out
}

// newLimited returns a Quota of a fleet of ten daemons, with a random source of a fixed
// seed.
func newLimited(w route.Workspace, routes []route.Route) (*Quota, *rand.Rand) {
	rng := rand.New(rand.NewPCG(7, 7))
	q := New(true, Tolerance{Amount: 100, Share: 0.1, Window: 8 * time.Second})
	q.SetRandom(rng)
	q.Configure(start, &route.Table{Routes: routes, Workspaces: []route.Workspace{w}})
	q.SetDaemons(start, 10)
	return q, rng
}

// driver sends one daemon of ten a tenth of a workspace's demand, the same on each route,
// and reports that the others get and admit nine times as much.
type driver struct {
	q       *Quota
	w       *route.Workspace
	routes  []route.Route
	demand  float64 // of the whole fleet, as a multiple of the limit
	cost    float64
	now     time.Time
	others  Demands // nil: no sums of demand are sent
	silent  bool    // no hub answers
	pending float64
	spent   float64
	results []bool
	served  map[string]int
}

func newDriver(q *Quota, w *route.Workspace, routes []route.Route, demand float64) *driver {
	return &driver{q: q, w: w, routes: routes, demand: demand, cost: 10, now: start, others: Demands{}, served: map[string]int{}}
}

// run advances by a number of steps of 10 ms, with a report each 250 ms.
func (d *driver) run(steps int) {
	for range steps {
		d.now = d.now.Add(10 * time.Millisecond)
		d.pending += d.demand * d.w.Rate / 10 / 100
		for ; d.pending >= d.cost; d.pending -= d.cost {
			r := &d.routes[len(d.results)%len(d.routes)]
			_, ok := d.q.Take(d.now, d.w, r, d.cost)
			d.results = append(d.results, ok)
			if ok {
				d.served[r.Name]++
			}
		}
		if d.now.Sub(start)%(250*time.Millisecond) == 0 {
			d.report()
		}
	}
}

func (d *driver) report() {
	d.q.SetDaemons(d.now, 10)
	if d.silent {
		return
	}
	d.spent += min(d.demand, 1) * 0.9 * d.w.Rate / 4
	d.q.UpdateOthers(d.now, "hub", map[fleet.WorkspaceID]float64{d.w.Name: d.spent}, false)
	if d.others != nil {
		for i := range d.routes {
			name := d.routes[i].Name
			asked := d.others[d.w.Name][name]
			asked.Amount += 0.9 * d.demand * d.w.Rate / 4 / float64(len(d.routes))
			asked.Requests += uint64(0.9 * d.demand * d.w.Rate / 4 / float64(len(d.routes)) / d.cost)
			d.others = d.others.With(d.w.Name, name, asked)
		}
	}
	d.q.UpdateDemands(d.now, "hub", d.others)
}

// Guards against requests that are treated differently where priorities must make no difference.
func TestRequestsAreTreatedAlikeUnlessSharesAreInForce(t *testing.T) {
	for _, c := range []struct {
		name   string
		w      route.Workspace
		routes []route.Route
		demand float64
	}{
		{"demand below the limit", limited, routesOf(0, 1, 2), 0.9},
		{"routes of one priority, above the limit", limited, routesOf(1, 1, 1), 5},
		{"one route, above the limit", limited, routesOf(2), 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			var results [2][]bool
			var next [2]float64
			for i := range results {
				q, rng := newLimited(c.w, c.routes)
				if i == 0 {
					q.SpendInOrder()
				}
				d := newDriver(q, &c.w, c.routes, c.demand)
				d.run(1500)
				results[i], next[i] = d.results, rng.Float64()
			}
			assert.DeepEqual(t, results[0], results[1])
			assert.Equal(t, next[0], next[1])
		})
	}
}

// Guards against requests below the limit that are treated differently where the tolerance is small.
func TestBurstsBelowASmallToleranceAreTreatedAlike(t *testing.T) {
	routes := routesOf(0, 1, 2)
	var results [2][]bool
	for i := range results {
		q := New(true, Tolerance{Amount: 100})
		q.SetRandom(rand.New(rand.NewPCG(7, 7)))
		q.Configure(start, &route.Table{Routes: routes, Workspaces: []route.Workspace{limited}})
		q.SetDaemons(start, 10)
		if i == 0 {
			q.SpendInOrder()
		}
		d := newDriver(q, &limited, routes, 0)
		d.demand = 3
		for d.q.buckets[limited.Name].Level(d.now) > 0.6*limited.Burst {
			d.run(25)
		}
		d.demand = 0.6
		d.run(400)
		results[i] = d.results
	}
	assert.DeepEqual(t, results[0], results[1])
	for _, ok := range results[1] {
		assert.Assert(t, ok)
	}
}

// Guards against an unused limit where requests are large beside the tolerated excess.
func TestLargeRequestsLeaveNoLimitUnused(t *testing.T) {
	b := NewBucket(start, 1000, 1000, 500, 0)
	b.SetFleet(start, Fleet{Daemons: 6, ReachableShare: 1})
	b.AddOthers(start, 0)
	b.setShared(true, 1000)
	assert.Assert(t, b.passing() >= 1000, "%v of 1000 a second pass at half of the burst", b.passing())
}

// Guards against a limit that is spent in order of arrival, or a lowest priority that gets nothing.
func TestLimitIsSpentByPriority(t *testing.T) {
	routes := routesOf(0, 1, 2)
	q, _ := newLimited(limited, routes)
	d := newDriver(q, &limited, routes, 3)
	d.run(1000)
	d.served, d.results = map[string]int{}, nil
	d.run(4000)
	// A route asks for the whole limit: the first gets it, less two floors of a ninth.
	sent := len(d.results) / 3
	assert.Assert(t, d.served["r0"] > sent*70/100, "%v of %d each", d.served, sent)
	assert.Assert(t, d.served["r2"] > sent/12 && d.served["r2"] < sent/5, "%v of %d each", d.served, sent)
	shares := q.LimitShares(d.now)["w"]
	assert.Assert(t, shares["r0"] > 0.65 && shares["r1"] < 0.15 && shares["r2"] < 0.15, "%v", shares)
}

// Guards against shares by this daemon's demand alone where hubs of an earlier release send no sums.
func TestLimitIsSpentInOrderWithoutSumsOfDemand(t *testing.T) {
	routes := routesOf(0, 1, 2)
	q, _ := newLimited(limited, routes)
	d := newDriver(q, &limited, routes, 3)
	d.others = nil
	d.run(2000)
	assert.Equal(t, len(q.LimitShares(d.now)), 0)
	assert.Assert(t, math.Abs(float64(d.served["r0"]-d.served["r2"])) < 0.2*float64(d.served["r0"]), "%v", d.served)
}

// Guards against a daemon that spends its part in order of arrival as long as no hub answers.
func TestDaemonWithoutUpdatesSpendsItsPartByPriority(t *testing.T) {
	routes := routesOf(0, 1, 2)
	q, _ := newLimited(limited, routes)
	d := newDriver(q, &limited, routes, 3)
	d.run(500)
	d.silent = true
	d.run(200)
	before := d.served["r0"]
	d.served, d.results = map[string]int{}, nil
	d.run(1500)
	sent := len(d.results) / 3
	assert.Assert(t, before > 0 && d.served["r0"] > 2*d.served["r2"], "%v of %d each", d.served, sent)
	total := float64(d.served["r0"]+d.served["r1"]+d.served["r2"]) * d.cost
	part := limited.Rate / 10 * 15
	assert.Assert(t, total <= 1.1*part && total >= 0.9*part, "admitted %v of %v", total, part)
}

// Guards against shares by the priorities of an earlier configuration.
func TestChangedPrioritiesTakeEffect(t *testing.T) {
	routes := routesOf(0, 1, 2)
	q, _ := newLimited(limited, routes)
	d := newDriver(q, &limited, routes, 3)
	d.run(500)
	q.Configure(d.now, &route.Table{Routes: routesOf(2, 1, 0), Workspaces: []route.Workspace{limited}})
	d.run(100)
	shares := q.LimitShares(d.now)["w"]
	assert.Assert(t, shares["r2"] > 0.65 && shares["r0"] < 0.2, "%v", shares)
	q.Configure(d.now, &route.Table{Routes: routesOf(1, 1, 1), Workspaces: []route.Workspace{limited}})
	d.run(100)
	assert.Equal(t, len(q.LimitShares(d.now)), 0)
	assert.Assert(t, q.Demands() == nil)
}

// Guards against the demand of other daemons' routes that is ignored or preferred.
func TestRoutesUnknownToTheConfigurationHaveTheLowestPriority(t *testing.T) {
	p := newPriorities(&route.Table{Routes: append(routesOf(1, 3), route.Route{Name: "public", Priority: 9, Public: true})})
	assert.Equal(t, p.of("r0"), 1)
	assert.Equal(t, p.of("elsewhere"), 3)
	assert.Assert(t, p.several)
}

// Guards against state of workspaces whose limits aren't short.
func TestOnlyShortLimitsHaveState(t *testing.T) {
	table := &route.Table{Routes: routesOf(0, 1)}
	for i := range 5000 {
		table.Workspaces = append(table.Workspaces, route.Workspace{Name: fleet.WorkspaceID(fmt.Sprint("w", i)), Rate: 1000, Burst: 1000})
	}
	q := New(true, Tolerance{})
	q.Configure(start, table)
	for i := range table.Workspaces {
		q.Take(start, &table.Workspaces[i], &table.Routes[0], 10)
	}
	assert.Equal(t, len(q.rationings), 0)
	assert.Assert(t, q.Demands() == nil)
	q.Take(start, &table.Workspaces[7], &table.Routes[0], 800)
	q.Take(start, &table.Workspaces[7], &table.Routes[0], 10)
	assert.Equal(t, len(q.rationings), 1)
	assert.DeepEqual(t, q.Demands(), Demands{"w7": {"r0": {Amount: 10, Requests: 1}}})
	q.SetDaemons(start.Add(time.Minute), 10)
	q.SetDaemons(start.Add(time.Minute+rationedTime+time.Second), 10)
	assert.Equal(t, len(q.rationings), 0)
}

// Guards against a wait that is the same for all routes.
func TestRefusedRouteIsToldWhenItsShareIsRefilled(t *testing.T) {
	r := newRationing(start, &priorities{}, floorShare)
	r.all.seconds = 2
	d := r.route("r0")
	d.share, d.all.amount = 0.25, 800
	assert.Equal(t, r.refillTime(d, 50, 10), 5*time.Second)
	assert.Equal(t, r.refillTime(d, 5000, 10), maxWaitSeconds*time.Second)
}

// Guards against demand that counts once for each hub, or is lost with a hub.
func TestDemandOfSeveralHubsCountsOnce(t *testing.T) {
	var s hubSum
	assert.Equal(t, s.add("a", 100), 0.0)
	assert.Equal(t, s.add("b", 5000), 0.0)
	assert.Equal(t, s.add("a", 110), 10.0)
	assert.Equal(t, s.add("b", 5010), 0.0)
	assert.Equal(t, s.add("b", 5030), 20.0) // a is dead
	assert.Equal(t, s.add("a", 3), 0.0)     // restarted
	assert.Equal(t, s.add("a", 7), 4.0)
	s.keep([]string{"a"})
	assert.Equal(t, len(s.hubs), 1)
}

func BenchmarkTake(b *testing.B) {
	for _, c := range []struct {
		name   string
		routes []route.Route
		demand float64
	}{
		{"below the limit", routesOf(0, 1, 2), 0.5},
		{"one priority above the limit", routesOf(1, 1, 1), 5},
		{"shares in force", routesOf(0, 1, 2), 5},
	} {
		b.Run(c.name, func(b *testing.B) {
			q, _ := newLimited(limited, c.routes)
			d := newDriver(q, &limited, c.routes, c.demand)
			d.run(1000)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Take(d.now.Add(time.Duration(i)*200*time.Microsecond), &limited, &c.routes[i%len(c.routes)], 0.01)
			}
		})
	}
}
