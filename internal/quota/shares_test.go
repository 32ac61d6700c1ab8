package quota

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// asked returns the demand of a number of requests of one cost.
func asked(priority int, requests, cost float64) RouteDemand {
	return RouteDemand{Priority: priority, Amount: requests * cost, Requests: requests}
}

// to returns a demand for another service.
func to(service string, d RouteDemand) RouteDemand {
	d.Services = service
	return d
}

// Guards against shares where everything may pass, or in another order than by priority and value.
func TestSharesAreAllocatedByPriority(t *testing.T) {
	for _, c := range []struct {
		name    string
		limit   float64
		demands []RouteDemand
		want    []float64 // nil: everything may pass
	}{
		{"no route", 100, nil, nil},
		{"one route above the limit", 100, []RouteDemand{asked(0, 30, 10)}, nil},
		{"equal priorities above the limit", 100, []RouteDemand{asked(1, 30, 10), asked(1, 300, 1)}, nil},
		{"demand within the limit", 100, []RouteDemand{asked(0, 5, 10), asked(1, 5, 10)}, nil},
		{"no limit", 0, []RouteDemand{asked(0, 5, 10), asked(1, 5, 10)}, nil},
		{"no demand", 100, []RouteDemand{asked(0, 0, 10), asked(1, 0, 10)}, nil},
		{"the higher priority first, a floor for the other", 120, []RouteDemand{asked(0, 6, 10), asked(1, 30, 10)}, []float64{1, 0.2}},
		{"the order of the demands doesn't matter", 120, []RouteDemand{asked(1, 30, 10), asked(0, 6, 10)}, []float64{0.2, 1}},
		{"a third of an equal share is the least", 100, []RouteDemand{asked(0, 30, 10), asked(1, 30, 10)}, []float64{1.0/18 + 2.0/9, 1.0 / 18}},
		{"a cheap lower priority shares with an expensive higher one", 100, []RouteDemand{asked(0, 2, 100), asked(1, 200, 1)}, []float64{0.25, 0.25}},
		{"within a priority by value per token", 120, []RouteDemand{asked(0, 6, 10), asked(1, 1, 120), asked(1, 12, 10)}, []float64{1, 2.0 / 15, 2.0/15 + 28.0/120}},
		{"cheap requests of another service pass", 100, []RouteDemand{asked(0, 2, 100), to("plain", asked(1, 20, 1))}, []float64{0.4, 1}},
		{"a route without demand is bounded by higher priorities", 100, []RouteDemand{asked(0, 30, 10), asked(1, 30, 10), asked(1, 0, 1), asked(0, 0, 1)}, []float64{1.0/18 + 2.0/9, 1.0 / 18, 1.0/18 + 2.0/9, 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Shares(c.limit, c.demands)
			assert.Equal(t, len(got), len(c.want))
			for i := range got {
				assert.Assert(t, math.Abs(got[i]-c.want[i]) < 1e-9, "%v, want %v", got, c.want)
			}
		})
	}
}

// value returns the worth of what passes.
func value(demands []RouteDemand, shares []float64) float64 {
	sum := 0.0
	for i, d := range demands {
		sum += shares[i] * d.Requests * math.Exp2(-float64(d.Priority))
	}
	return sum
}

// Guards against shares that exceed the limit, waste it, invert priorities or starve a route.
func TestSharesKeepTheirBoundsForAnyDemand(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 5000 {
		demands := make([]RouteDemand, 2+rng.IntN(5))
		total := 0.0
		for i := range demands {
			demands[i] = to([]string{"a", "b"}[rng.IntN(2)], asked(rng.IntN(4), rng.Float64()*50, math.Exp(rng.Float64()*8)))
			total += demands[i].Amount
		}
		limit := total * (0.05 + 0.9*rng.Float64())
		shares := Shares(limit, demands)
		if shares == nil {
			assert.Assert(t, !severalPriorities(demands))
			continue
		}
		passing := 0.0
		equal := make([]float64, len(demands))
		for i, d := range demands {
			passing += shares[i] * d.Amount
			equal[i] = limit / total
			assert.Assert(t, shares[i] <= 1+1e-9 && shares[i] >= equal[i]/3-1e-9, "%v", shares)
			for j, o := range demands {
				assert.Assert(t, d.Services != o.Services || d.Priority >= o.Priority || shares[i] >= shares[j]-1e-9, "%v of %v", shares, demands)
			}
		}
		assert.Assert(t, math.Abs(passing-limit) < 1e-6*limit, "%v of %v", passing, limit)
		assert.Assert(t, value(demands, shares) >= value(demands, equal)-1e-9, "%v of %v", shares, demands)
	}
}
