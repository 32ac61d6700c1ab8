package workload

import (
	"math"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func plan(t testing.TB, mix string, seed uint64) *Plan {
	t.Helper()
	m, err := FindMix(mix)
	assert.NilError(t, err)
	return &Plan{
		Mix: m, Rate: 200, Duration: time.Minute, Requests: 1 << 20, Seed: seed, LatencyScale: 0.3,
		Bursts:     DefaultBursts(),
		Workspaces: []Workspace{{Name: "north", Weight: 3}, {Name: "south", Weight: 1}},
	}
}

func build(t testing.TB, p *Plan) *Schedule {
	t.Helper()
	s, err := Build(p)
	assert.NilError(t, err)
	return s
}

func TestScheduleIsAFunctionOfItsSeed(t *testing.T) {
	for _, mix := range []string{TallerVivo, Magnolia} {
		a := build(t, plan(t, mix, 7))
		assert.Equal(t, a.Hash(), build(t, plan(t, mix, 7)).Hash())
		assert.Assert(t, a.Hash() != build(t, plan(t, mix, 8)).Hash())
	}
}

func TestScheduleKeepsRateWeightsAndShares(t *testing.T) {
	p := plan(t, TallerVivo, 1)
	s := build(t, p)
	near := func(got, want float64) {
		t.Helper()
		// Over 12,000 arrivals, of which a fifth come in bursts of eight, five
		// standard deviations are below 7%.
		assert.Assert(t, math.Abs(got-want) < 0.07*want, "got %v, want %v", got, want)
	}
	n := float64(len(s.Arrivals))
	near(n, p.Rate*p.Duration.Seconds())
	north, diagnoses, resumed := 0.0, 0.0, 0.0
	for _, a := range s.Arrivals {
		north += float64(1 - a.Workspace)
		if p.Mix.Kinds[a.Kind].Name == "diagnosis" {
			diagnoses++
			resumed += float64(min(a.Turn, 1))
		}
	}
	near(north/n, 0.75)
	near(diagnoses/n, 0.30)
	assert.Assert(t, resumed/diagnoses > 0.3, "too few requests continue a conversation: %v", resumed/diagnoses)
}

// Guards against a shared random source: if one workspace's factor changed the
// others' arrivals, slower answers for them could be due to the schedule.
func TestFactorOfOneWorkspaceKeepsTheOthersArrivals(t *testing.T) {
	calm := plan(t, TallerVivo, 3)
	flood := plan(t, TallerVivo, 3)
	flood.Workspaces[0].Factor = 10
	south := func(s *Schedule) (times []time.Duration) {
		for _, a := range s.Arrivals {
			if a.Workspace == 1 {
				times = append(times, a.At)
			}
		}
		return times
	}
	a, b := build(t, calm), build(t, flood)
	assert.Assert(t, slices.Equal(south(a), south(b)))
	assert.Assert(t, len(b.Arrivals) > 6*len(a.Arrivals))
}

func TestTurnsComeInOrderAfterTheirPause(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p := plan(t, TallerVivo, rapid.Uint64().Draw(rt, "seed"))
		p.Rate, p.Duration = 50, 20*time.Second
		p.Requests = rapid.IntRange(1, 1500).Draw(rt, "requests")
		last := map[int]Arrival{}
		var before time.Duration
		s, err := Build(p)
		assert.NilError(rt, err)
		assert.Assert(rt, len(s.Arrivals) <= p.Requests)
		for _, a := range s.Arrivals {
			assert.Assert(rt, a.At >= before && a.At < p.Duration)
			before = a.At
			if a.Conversation < 0 {
				continue
			}
			k := p.Mix.Kinds[a.Kind]
			if a.Turn > 0 {
				prior := last[a.Conversation]
				assert.Assert(rt, prior.Turn == a.Turn-1 && !prior.Last && prior.Subject == a.Subject)
				assert.Assert(rt, a.At-prior.At >= time.Duration(float64(k.Think)*p.LatencyScale))
			}
			assert.Assert(rt, a.Turn < k.Turns)
			last[a.Conversation] = a
		}
		for _, a := range last {
			assert.Assert(rt, a.Last)
		}
	})
}

func TestErrorsOfPlanAndMixNameTheMistake(t *testing.T) {
	p := plan(t, Magnolia, 1)
	p.Bursts.Share = 1
	_, err := Build(p)
	assert.ErrorContains(t, err, "share of bursts")
	_, err = FindMix("nowhere")
	assert.ErrorContains(t, err, "taller-vivo")
}
