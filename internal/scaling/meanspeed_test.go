package scaling

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// plannedAt returns the endpoints that are wanted where slots keep 30 of them busy and prefill
// 30 usual ones, and the mean speed of those that serve is known.
func plannedAt(meanSpeed float64) int {
	prices, serving := map[fleet.DataCentre]float64{}, map[Place]int{}
	for _, dc := range dataCentres {
		prices[dc], serving[Place{dc, true}] = 1, 40
	}
	p, now, wanted := New(), start, map[Place]int{}
	for range 120 {
		now = now.Add(simStep)
		s := &Sample{
			Service: &route.Service{
				Engine:  &route.Engine{Slots: 10},
				Scaling: &route.Scaling{Min: 1, Max: 300, BootTime: simBootTime, OnDemandPrices: prices},
			},
			Serving: serving, Slots: 300, Prefill: 1500, Prompt: 1500, PrefillCapacity: 50, Seconds: simStep.Seconds(), MeanSpeed: meanSpeed,
		}
		for _, o := range p.Plan(now, s) {
			wanted[o.Place], serving[o.Place] = o.Count, o.Count
		}
	}
	return total(wanted)
}

// Guards against a fleet of slow endpoints that is too small, or one of fast ones too large.
func TestEndpointsCountByTheirSpeed(t *testing.T) {
	speeds := []float64{0.7, 1, 1.7}
	at := map[float64]int{}
	for _, s := range speeds {
		at[s] = plannedAt(s)
	}
	t.Log(at)
	for _, s := range speeds {
		// Two of the four data centres must suffice, each with a rounded-up number.
		want := (30 + 30/s) / targetUtilisation * 2
		assert.Assert(t, float64(at[s]) >= want && float64(at[s]) <= math.Ceil(want)+4, "speed %g: %d, not %.1f", s, at[s], want)
	}
	mixed := plannedAt((0.7 + 1 + 4*1.7) / 6)
	assert.Assert(t, mixed < at[1] && mixed > at[1.7], "%d", mixed)
}

// Guards against plans that change though the endpoints are alike or their speeds unknown.
func TestSpeedOneChangesNoPlan(t *testing.T) {
	assert.Equal(t, plannedAt(1), plannedAt(0))
	for _, meanSpeed := range []float64{0, 1} {
		s := &Sample{Service: service(), Slots: 31, Prefill: 7, Prompt: 11, PrefillCapacity: 3, Seconds: 0.5, MeanSpeed: meanSpeed}
		p := New()
		p.updateLoad(start.Add(time.Second), s)
		assert.Equal(t, p.load, s.Slots/48+s.Prefill/3)
		assert.Equal(t, p.cachedLoad, (s.Prompt-s.Prefill)/3)
	}
}
