package quota_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The demand jumps at overFrom. Four seconds later what is served is judged: the admitted
// amount over eight seconds, the routes until the end.
const (
	overFrom   = 500 * time.Millisecond
	judgedFrom = overFrom + 4*time.Second
	judgedTo   = judgedFrom + judgedWindow
	overEnd    = judgedTo + judgedWindow
)

// served counts requests and those of them that were admitted.
type served struct{ requests, admitted float64 }

func (s *served) add(ok bool) {
	s.requests++
	if ok {
		s.admitted++
	}
}

func (s *served) share() float64    { return s.admitted / s.requests }
func (s *served) variance() float64 { return s.share() * (1 - s.share()) / s.requests }

// routeServed is how a route's requests were served: all, and those below and above the
// median cost.
type routeServed struct{ all, small, large served }

func (r *routeServed) add(cost, median float64, ok bool) {
	r.all.add(ok)
	if cost < median {
		r.small.add(ok)
	} else {
		r.large.add(ok)
	}
}

// overLimit is the result of simulations of a workspace above its limit.
type overLimit struct {
	routes    []playRoute
	served    []routeServed
	due       float64 // admitted, as a part of what was due, mean
	limit     float64 // admitted, as a part of the limit, mean
	settled   float64 // the same, in the eight seconds after
	equal     float64 // admitted, as a part of the demand, mean
	tolerance float64 // used, the largest
}

// newOverLimit simulates a number of fleets.
func newOverLimit(seeds uint64, newFleet func() *sizedFleet) *overLimit {
	r := &overLimit{}
	for seed := range seeds {
		f := newFleet()
		f.run(seed, overEnd)
		r.add(f, 1/float64(seeds))
	}
	return r
}

func (r *overLimit) add(f *sizedFleet, weight float64) {
	r.routes = f.routes
	if r.served == nil {
		r.served = make([]routeServed, len(f.routes))
	}
	for i := range f.routes {
		median := f.routes[i].meanCost * math.Exp(-0.5)
		for _, q := range f.requests {
			if q.route == &f.routes[i].Route && q.at >= judgedFrom {
				r.served[i].add(q.cost, median, q.ok)
			}
		}
	}
	r.limit += weight * f.admittedShare(judgedFrom, judgedTo)
	r.due += weight * f.admittedShare(judgedFrom, judgedTo) / f.dueShare(judgedFrom)
	r.settled += weight * f.admittedShare(judgedTo, overEnd)
	r.equal += weight * f.servedShare(judgedFrom, overEnd)
	r.tolerance = max(r.tolerance, f.toleranceUsed())
}

// dueShare returns what is due over the judged window from a time on, as a part of the
// limit: what was admitted beyond the limit before has to be left out.
func (f *sizedFleet) dueShare(from time.Duration) float64 {
	level := 1.0 // of an ideal bucket, in seconds of the limit
	for _, v := range f.admitted[:from/simStep] {
		level = min(level+simStep.Seconds(), 1) - v
	}
	return 1 + min(level, 0)/judgedWindow.Seconds()
}

// faults returns which checks a result doesn't pass.
func (r *overLimit) faults() []string {
	var out []string
	add := func(bad bool, format string, args ...any) {
		if bad {
			out = append(out, fmt.Sprintf(format, args...))
		}
	}
	add(r.tolerance > 1, "limit: %.3f of what is tolerated", r.tolerance)
	add(r.due < 0.98, "use: %.3f of what is due", r.due)
	add(r.settled < 0.98, "use: %.3f of the limit once settled", r.settled)
	for i := range r.served {
		all := &r.served[i].all
		add(all.share() < r.equal/4, "floor: %s served %.3f, equal share %.3f", r.routes[i].Name, all.share(), r.equal)
		for j := range r.served {
			other := &r.served[j].all
			chance := 2 * math.Sqrt(all.variance()+other.variance())
			add(r.routes[i].Priority == 0 && r.routes[j].Priority > 0 && all.share() < other.share()-chance,
				"order: %s served %.3f, %s %.3f", r.routes[i].Name, all.share(), r.routes[j].Name, other.share())
		}
	}
	return out
}

// String is the figures of a result.
func (r *overLimit) String() string {
	out := fmt.Sprintf("limit %.3f due %.3f settled %.3f tolerated %.3f equal %.3f", r.limit, r.due, r.settled, r.tolerance, r.equal)
	for i := range r.served {
		s := &r.served[i]
		out += fmt.Sprintf("; %s %.3f", r.routes[i].Name, s.all.share())
	}
	return out
}

// sizes sums how small and large requests of each route were served.
type sizes struct {
	routes []playRoute
	served []routeServed
}

func (s *sizes) add(r *overLimit) {
	s.routes = r.routes
	if s.served == nil {
		s.served = make([]routeServed, len(r.served))
	}
	for i := range r.served {
		for _, p := range [][2]*served{{&s.served[i].small, &r.served[i].small}, {&s.served[i].large, &r.served[i].large}} {
			p[0].requests += p[1].requests
			p[0].admitted += p[1].admitted
		}
	}
}

// faults returns the routes whose large and small requests are served differently.
func (s *sizes) faults() []string {
	var out []string
	for i := range s.served {
		ratio := s.served[i].large.share() / s.served[i].small.share()
		if !(ratio > 0.8 && ratio < 1.2) {
			out = append(out, fmt.Sprintf("sizes: %s large %.3f of small", s.routes[i].Name, ratio))
		}
	}
	return out
}

// overLimitMixes are the costs of a workspace's requests: cheap ones have the highest
// priority, or expensive ones.
var overLimitMixes = map[string]func() []playRoute{
	"cheap_first": func() []playRoute {
		return []playRoute{newPlayRoute("chat", 0, 1770), newPlayRoute("search", 1, 2350), newPlayRoute("reports", 2, 13000)}
	},
	"expensive_first": func() []playRoute {
		return []playRoute{newPlayRoute("chat", 0, 13000), newPlayRoute("search", 1, 1750), newPlayRoute("reports", 2, 2300), newPlayRoute("pings", 2, 100)}
	},
}

// overLimitSizes are numbers of daemons with the demand, in limits, and the seeds that are
// simulated. 986 daemons are simulated with one demand only, to bound the time of the package.
var overLimitSizes = []struct {
	daemons int
	seeds   uint64
	peaks   []float64
}{{9, 24, []float64{3, 5, 8}}, {78, 12, []float64{3, 5, 8}}, {340, 4, []float64{3, 5, 8}}, {986, 4, []float64{5}}}

// Guards against a limit spent in order of arrival, not used up, or on which a kind or size starves.
func TestLimitIsSpentByPriorityAtAnyFleetSize(t *testing.T) {
	t.Parallel()
	for _, size := range overLimitSizes {
		for name, routes := range overLimitMixes {
			t.Run(fmt.Sprintf("%d_daemons/%s", size.daemons, name), func(t *testing.T) {
				t.Parallel()
				var bySize sizes
				for _, peak := range size.peaks {
					r := newOverLimit(size.seeds, func() *sizedFleet {
						return &sizedFleet{daemons: size.daemons, jumpAt: overFrom, peakDemand: peak, routes: routes()}
					})
					bySize.add(r)
					t.Logf("%v limits: %v", peak, r)
					assert.Check(t, len(r.faults()) == 0, "%v limits: %s", peak, strings.Join(r.faults(), "; "))
				}
				assert.Check(t, len(bySize.faults()) == 0, "%s", strings.Join(bySize.faults(), "; "))
			})
		}
	}
}

// Guards against checks that miss a lack of a floor, of shares or of sums of the demand.
func TestChecksDetectFaultsOfTheShares(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		mix   string
		fault func(f *sizedFleet)
		want  string
	}{
		"no floor":                           {"cheap_first", func(f *sizedFleet) { f.floor = new(float64) }, "floor:"},
		"shares ignored":                     {"expensive_first", func(f *sizedFleet) { f.inOrder = true }, "order:"},
		"no sums of the demand":              {"expensive_first", func(f *sizedFleet) { f.withoutDemandSums = true }, "order:"},
		"no sums of the demand, cheap first": {"cheap_first", func(f *sizedFleet) { f.withoutDemandSums = true }, "sizes:"},
	} {
		t.Run(name, func(t *testing.T) {
			var bySize sizes
			r := newOverLimit(3, func() *sizedFleet {
				f := &sizedFleet{daemons: 78, jumpAt: overFrom, peakDemand: 8, routes: overLimitMixes[c.mix]()}
				c.fault(f)
				return f
			})
			bySize.add(r)
			faults := strings.Join(append(r.faults(), bySize.faults()...), "; ")
			assert.Assert(t, strings.Contains(faults, c.want), "%s (%s)", faults, r)
			t.Log(faults)
		})
	}
}

// Guards against a limit that depends on the sums of demand, which may be wrong or missing.
func TestLimitIsKeptByWrongShares(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{9, 78, 340, 986} {
		for name, routes := range overLimitMixes {
			for _, scale := range []float64{0, 0.3} {
				r := newOverLimit(1, func() *sizedFleet {
					return &sizedFleet{daemons: daemons, jumpAt: overFrom, peakDemand: 6, routes: routes(), withoutDemandSums: scale == 0, demandScale: scale}
				})
				t.Logf("%d daemons, %s, %v of the demand: %v", daemons, name, scale, r)
				assert.Check(t, r.tolerance <= 1, "%d daemons, %s, %v of the demand: %.3f of what is tolerated", daemons, name, scale, r.tolerance)
			}
		}
	}
}
