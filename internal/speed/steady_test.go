package speed

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Guards against a fast endpoint that seems of usual speed since it computes more prompts.
func TestPromptsComputedDoNotMakeAnEndpointSlow(t *testing.T) {
	keys := []rendezvous.ShortKey{1, 2, 3}
	observed := func(k rendezvous.ShortKey) Observation {
		o := Observation{Weight: 100, LogEventSeconds: math.Log(0.05)}
		if k == 3 { // half as long without prompts, and prompts for 2/3 of its time
			o.Prefilling = 2.0 / 3
		}
		return o
	}
	f := settle(NewEstimator(), keys, observed, ModeAuto)
	assert.Assert(t, f[0] == 1 && f[1] == 1 && f[2] > 0.49 && f[2] < 0.53, "%v", f)
}

// Guards against factors from estimates that still change at all endpoints, as in a fleet's first seconds.
func TestEstimatesThatChangeEverywhereAreNotUsed(t *testing.T) {
	e, keys, at := NewEstimator(), []rendezvous.ShortKey{1, 2, 3, 4, 5}, 0
	observed := func(k rendezvous.ShortKey) Observation {
		log := 0.8 * math.Sin(float64(at)/5+float64(k)*2*math.Pi/5)
		return Observation{Weight: 100, LogEventSeconds: log}
	}
	largest := 0.0
	for at = range 100 {
		for _, f := range e.Estimate(start.Add(time.Duration(at)*200*time.Millisecond), keys, observed, false, ModeAuto) {
			largest = max(largest, math.Abs(math.Log(f)))
		}
	}
	assert.Equal(t, largest, 0.0)
}
