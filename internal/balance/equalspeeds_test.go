package balance

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// unweighted is the choice without speeds, by the formulas that these extend.
type unweighted struct{ *Balancer }

func (u unweighted) wait(r *Request, m *member, cached int) float64 {
	slots, running := max(m.Slots, 1), m.running()
	prefillTokens := m.own.PendingPrefill + m.others.PendingPrefill + max(r.Prompt-cached, 0)
	sum := float64(prefillTokens)/u.prefillRate.perSecond + fullBatchSeconds*float64(running)/float64(slots)
	if waiting := running - slots + 1; waiting > 0 {
		sum += slotHoldSeconds * float64(waiting) / float64(slots)
	}
	return sum
}

func (u unweighted) cost(now time.Time, r *Request, m *member, home bool, s *sources) float64 {
	f := u.planFetch(m, cachedTokens(r, m, home), s)
	sum := u.wait(r, m, f.cached) + f.costSeconds
	sum += (recomputeWeight - 1) * float64(max(r.Prompt-f.cached, 0)) / u.prefillRate.perSecond
	if m.failures.share != 0 {
		sum += failureCostSeconds * m.failures.share * math.Exp2(-now.Sub(m.failures.at).Seconds()/failureHalfLife.Seconds())
	}
	sum += u.rerunCost(now, r, m)
	if m.DataCentre != u.self {
		sum += remoteSeconds
	}
	return sum
}

func (u unweighted) homes(key uint64, set []*member) []*member {
	out := slices.Clone(set)
	slices.SortStableFunc(out, func(x, y *member) int {
		if rendezvous.ScoreHashed(key, x.hash) > rendezvous.ScoreHashed(key, y.hash) {
			return -1
		}
		return 1
	})
	return out[:min(homeCount, len(out))]
}

func (u unweighted) candidates(r *Request) []*member {
	set := u.eligible(r)
	if len(set) <= scanLimit {
		return set
	}
	var out []*member
	if key := r.affinityKey(); key != 0 {
		out = u.homes(key, set)
	}
	for range sampleSize {
		if m := set[u.rng.IntN(len(set))]; !slices.Contains(out, m) {
			out = append(out, m)
		}
	}
	return out
}

func (u unweighted) sources(r *Request, set []*member) sources {
	var out sources
	if key := r.affinityKey(); key != 0 {
		for _, m := range append(slices.Clone(set), u.homes(key, u.listed[r.Service])...) {
			out.add(m, m.parts.prefixTokens(r.Parts))
		}
	}
	return out
}

func (u unweighted) pick(now time.Time, r *Request) Choice {
	set := u.candidates(r)
	var home *member
	if key := r.affinityKey(); key != 0 {
		home = u.homes(key, set)[0]
	}
	found := u.sources(r, set)
	var best *member
	least, equal := 0.0, 0
	for _, m := range set {
		if m.avoided(now) || r.tried(m) {
			continue
		}
		cost := u.cost(now, r, m, m == home, &found)
		switch {
		case best == nil || cost < least-tieSeconds:
			best, least, equal = m, cost, 1
		case cost < least+tieSeconds:
			equal++
			if u.rng.IntN(equal) == 0 {
				best = m
			}
			least = min(least, cost)
		}
	}
	f := u.planFetch(best, cachedTokens(r, best, best == home), &found)
	c := Choice{Endpoint: best.Endpoint, Cached: f.cached, Wait: u.wait(r, best, f.cached), Home: best == home}
	if f.from != nil {
		c.FetchFrom = f.from.Address
	}
	return c
}

// Guards against speeds that change the choices, predictions or draws among equal endpoints.
func TestEqualSpeedsChangeNothing(t *testing.T) {
	t.Parallel()
	for _, endpoints := range []int{18, 60, 140, 690} {
		for _, draining := range []int{0, 3} {
			rng := rand.New(rand.NewPCG(uint64(endpoints), 9))
			b, u := fetchingBalancer(2e-6, endpoints), unweighted{fetchingBalancer(2e-6, endpoints)}
			all := addressedEndpoints(endpoints)
			for i := range draining {
				all[5*i].Draining = true
			}
			b.SetEndpoints(start, all)
			u.SetEndpoints(start, all)
			now, open := start, []Choice{}
			requests := []*Request{}
			for i := range 1500 {
				now = now.Add(time.Duration(rng.IntN(5)) * time.Millisecond)
				q := requestWithPrefix(uint64(rng.IntN(40) + 2))
				q.Parts[2].ID += rng.Uint64N(1 << 20)
				q.PauseTarget = 500 * time.Millisecond
				got, ok := b.Pick(now, q)
				assert.Assert(t, ok)
				assert.Equal(t, got, u.pick(now, q))
				b.Sent(q, got)
				u.Sent(q, got)
				open, requests = append(open, got), append(requests, q)
				if len(open) > 20*endpoints || rng.IntN(3) == 0 {
					j := rng.IntN(len(open))
					finishBoth(b, u, now, requests[j], open[j], rng)
					open, requests = slices.Delete(open, j, j+1), slices.Delete(requests, j, j+1)
				}
				if i%100 == 0 {
					others := randomLoads(rng, all[0].Slots, endpoints)
					b.SetOthers(others)
					u.SetOthers(others)
				}
			}
			assert.Equal(t, b.PrefillRate(), u.PrefillRate())
			assert.Equal(t, b.rng.Uint64(), u.rng.Uint64())
		}
	}
}

// finishBoth ends a request at both, where no pause was late.
func finishBoth(b *Balancer, u unweighted, now time.Time, q *Request, c Choice, rng *rand.Rand) {
	seconds := 0.02 + 0.3*rng.Float64()
	o := Answered
	if rng.IntN(10) == 0 {
		o = Failed
	}
	b.ObservePause(now, c, time.Duration(rng.IntN(500))*time.Millisecond, 500*time.Millisecond)
	for _, x := range []*Balancer{b, u.Balancer} {
		x.FirstToken(q, c, seconds)
		x.Done(now, q, c, true, o)
	}
}

func randomLoads(rng *rand.Rand, slots, endpoints int) Loads {
	out := Loads{}
	for _, e := range testEndpoints(endpoints) {
		out[rendezvous.ShortKeyOf(string(e.ID))] = Load{rng.IntN(slots + 8), rng.IntN(9000)}
	}
	return out
}

// slowBalancer returns a balancer whose first endpoint has another slowness.
func slowBalancer(endpoints int, s slowness) *Balancer {
	b := newTestBalancer(1, endpoints)
	b.members["e0"].slow = s
	return b
}

// Guards against predictions for all endpoints by the usual one's speed.
func TestPredictionsScaleWithSlowness(t *testing.T) {
	b := slowBalancer(2, 2)
	q := &Request{Service: "llm", Prompt: 11_000}
	slow, alike := b.members["e0"], b.members["e1"]
	assertRatio(t, b.predictWait(q, slow, 0)/b.predictWait(q, alike, 0), 2)
	slow.others.Requests, alike.others.Requests = 24, 24
	assertRatio(t, b.predictWait(q, slow, 11_000)/b.predictWait(q, alike, 11_000), 2)
	slow.others.Requests, alike.others.Requests = 60, 60
	assertRatio(t, b.predictWait(q, slow, 11_000)/b.predictWait(q, alike, 11_000), 2)
}

func assertRatio(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got/want-1) < 1e-12, "%g, not %g", got, want)
}

// Guards against a rate that is that of the endpoints which got the requests.
func TestPrefillRateIsThatOfTheUsualEndpoint(t *testing.T) {
	b := slowBalancer(1, 2)
	q := &Request{Service: "llm", Prompt: 8000}
	c, _ := b.Pick(start, q)
	for range 2000 {
		b.FirstToken(q, c, 8000.0/40_000)
	}
	assert.Assert(t, math.Abs(b.PrefillRate()/80_000-1) < 0.1, "%.0f", b.PrefillRate())
}

// Guards against homes that don't follow speed, or differ between daemons for slight errors.
func TestHomesFollowSpeed(t *testing.T) {
	won := map[fleet.EndpointID]int{}
	a, b, even := slowBalancer(18, 2), slowBalancer(18, 2.1), newTestBalancer(1, 18)
	moved := 0
	for key := uint64(1); key <= 18_000; key++ {
		home := a.homeOf(start, rendezvous.Key(string(rune(key))), a.active["llm"])
		other := b.homeOf(start, rendezvous.Key(string(rune(key))), b.active["llm"])
		before := even.homeOf(start, rendezvous.Key(string(rune(key))), even.active["llm"])
		assert.Equal(t, home.ID, other.ID)
		if home.ID != before.ID {
			moved++
			assert.Equal(t, before.ID, fleet.EndpointID("e0"))
		}
		won[home.ID]++
	}
	assert.Assert(t, moved > 0)
	assert.Assert(t, won["e0"] > 400 && won["e0"] < 640, "%d", won["e0"])
}

// Guards against a mean speed that counts draining endpoints, or factors instead of speeds.
func TestMeanSpeed(t *testing.T) {
	b := newTestBalancer(1, 4)
	assert.Equal(t, b.MeanSpeed("llm"), 1.0)
	assert.Equal(t, b.MeanSpeed("none"), 1.0)
	b.members["e0"].slow = 2
	b.members["e1"].slow = 0.5
	assert.Equal(t, b.MeanSpeed("llm"), (0.5+2+1+1)/4)
	all := testEndpoints(4)
	all[1].Draining = true
	b.SetEndpoints(start, all)
	assert.Equal(t, b.MeanSpeed("llm"), (0.5+1+1)/3)
}
