package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// RouteDemand is a fleet's demand for a workspace's limit on one route.
type RouteDemand struct {
	Priority int     // 0 is the highest
	Services string  // equal for routes that have services in common, see priorities
	Amount   float64 // per second, in the unit of the limit
	Requests float64 // per second
}

// floorShare is the part of an equal share that every route keeps, so that no kind of
// request starves.
const floorShare = 1.0 / 3

// Shares returns the shares with the usual floor; see sharesOf.
func Shares(limit float64, demands []RouteDemand) []float64 {
	return sharesOf(limit, floorShare, demands)
}

// sharesOf returns the part of each route's demand that may pass, in the order of the
// demands. The shares maximise the value of the requests that fit into a limit per second,
// where a request is worth twice one of the next lower priority, no share is above that of a
// route of higher priority to the same services, and each is at least floorShare of an equal
// share. Routes to other services aren't ordered: few of their requests, which cost little, are
// no reason to refuse the others.
//
// The result is nil if everything may pass: there is no limit, the demand is within it, or
// all routes have one priority.
func sharesOf(limit, floorShare float64, demands []RouteDemand) []float64 {
	total := 0.0
	for _, d := range demands {
		total += d.Amount
	}
	if limit <= 0 || total <= limit || !severalPriorities(demands) {
		return nil
	}
	floor := floorShare * limit / total
	left := limit - floor*total
	out := make([]float64, len(demands))
	for _, p := range pools(demands) {
		extra := min(1-floor, left/p.amount)
		left = max(left-extra*p.amount, 0)
		for _, i := range p.routes {
			out[i] = floor + extra
		}
	}
	shareIdle(demands, out)
	return out
}

func severalPriorities(demands []RouteDemand) bool {
	return slices.ContainsFunc(demands, func(d RouteDemand) bool { return d.Priority != demands[0].Priority })
}

// pool is routes that get the same share.
type pool struct {
	value, amount float64
	routes        []int // indices of demands
}

// valuePerToken returns the value of what a unit of the limit pays for.
func (p *pool) valuePerToken() float64 { return p.value / p.amount }

// pools returns the routes that have demand in the order in which the limit is allocated
// to them: by value per token, while routes to the same services keep the order of their
// priorities.
func pools(demands []RouteDemand) []pool {
	byServices := map[string][]pool{}
	for i, d := range demands {
		if d.Amount > 0 {
			p := pool{value: d.Requests * math.Exp2(-float64(d.Priority)), amount: d.Amount, routes: []int{i}}
			byServices[d.Services] = append(byServices[d.Services], p)
		}
	}
	var out []pool
	for _, services := range slices.Sorted(maps.Keys(byServices)) {
		out = append(out, pooled(demands, byServices[services])...)
	}
	slices.SortStableFunc(out, func(a, b pool) int { return cmp.Compare(b.valuePerToken(), a.valuePerToken()) })
	return out
}

// pooled returns routes to the same services in the order of their priorities, which is that of
// their value per token then. A route of lower priority that is worth more per token than the
// routes before it gets the same share as these: more would put it above a higher priority, less
// would waste the limit.
func pooled(demands []RouteDemand, routes []pool) []pool {
	slices.SortFunc(routes, func(a, b pool) int {
		byPriority := cmp.Compare(demands[a.routes[0]].Priority, demands[b.routes[0]].Priority)
		return cmp.Or(byPriority, cmp.Compare(b.valuePerToken(), a.valuePerToken()))
	})
	var out []pool
	for _, p := range routes {
		for len(out) > 0 && out[len(out)-1].valuePerToken() < p.valuePerToken() {
			last := out[len(out)-1]
			out = out[:len(out)-1]
			p = pool{value: last.value + p.value, amount: last.amount + p.amount, routes: append(last.routes, p.routes...)}
		}
		out = append(out, p)
	}
	return out
}

// shareIdle gives a route without demand, which takes nothing of the limit, the largest
// share that the routes of higher priority to the same services allow.
func shareIdle(demands []RouteDemand, shares []float64) {
	for i, d := range demands {
		if d.Amount > 0 {
			continue
		}
		shares[i] = 1
		for j, higher := range demands {
			if higher.Priority < d.Priority && higher.Services == d.Services && higher.Amount > 0 {
				shares[i] = min(shares[i], shares[j])
			}
		}
	}
}
