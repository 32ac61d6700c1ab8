package quota_test

import (
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// playRoute is a route of simulated requests. All routes get equally many.
type playRoute struct {
	route.Route
	meanCost float64 // in tokens
}

// playRequest is a simulated request.
type playRequest struct {
	at    time.Duration
	route *route.Route
	cost  float64
	ok    bool
}

// newPlayRoutes returns routes by the name, priority and mean cost of their requests.
func newPlayRoutes(all ...playRoute) []playRoute { return all }

func newPlayRoute(name string, priority int, meanCost float64) playRoute {
	return playRoute{Route: route.Route{Name: name, Priority: priority}, meanCost: meanCost}
}

// threeRoutes are routes of three priorities whose requests cost what those of one route do.
func threeRoutes() []playRoute {
	return newPlayRoutes(newPlayRoute("a", 0, meanCost), newPlayRoute("b", 1, meanCost), newPlayRoute("c", 2, meanCost))
}

// table returns the daemons' configuration.
func (f *sizedFleet) table() *route.Table {
	t := route.Table{Workspaces: []route.Workspace{largeWorkspace}}
	for i := range f.routes {
		t.Routes = append(t.Routes, f.routes[i].Route)
	}
	return &t
}

// meanCost returns the mean cost of the requests of all routes.
func (f *sizedFleet) meanCost() float64 {
	if len(f.routes) == 0 {
		return meanCost
	}
	sum := 0.0
	for i := range f.routes {
		sum += f.routes[i].meanCost
	}
	return sum / float64(len(f.routes))
}

// drawRoute returns a request's route and the mean cost of its requests.
func (f *sizedFleet) drawRoute() (*route.Route, float64) {
	if len(f.routes) == 0 {
		return &singleRoute, meanCost
	}
	r := &f.routes[f.demandRNG.IntN(len(f.routes))]
	return &r.Route, r.meanCost
}

var singleRoute = route.Route{Name: "only"}

// note records a request of one of several routes.
func (f *sizedFleet) note(t time.Duration, r *route.Route, cost float64, ok bool) {
	if len(f.routes) > 0 {
		f.requests = append(f.requests, playRequest{t, r, cost, ok})
	}
}

// demandsAt returns a hub's sums of the demand for one daemon.
func (f *sizedFleet) demandsAt(hub string, now time.Time, id fleet.DaemonID) quota.Demands {
	if f.withoutDemandSums {
		return nil
	}
	all := f.hubs[hub].Demands(now, id)
	if f.demandScale > 0 {
		for route, asked := range all[testWorkspace] {
			all[testWorkspace][route] = quota.Asked{Amount: f.demandScale * asked.Amount, Requests: uint64(f.demandScale * float64(asked.Requests))}
		}
	}
	return all
}

// forRoutes runs a simulation with one route and with three.
func forRoutes(t *testing.T, f func(t *testing.T, routes []playRoute)) {
	for name, routes := range map[string][]playRoute{"one_route": nil, "three_routes": threeRoutes()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f(t, routes)
		})
	}
}

// seedsOf returns the number of seeds with which a simulation runs: fewer with several
// routes, which take the same way through the bucket.
func seedsOf(routes []playRoute) uint64 {
	if len(routes) > 1 {
		return 1
	}
	return 3
}
