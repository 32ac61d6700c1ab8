package speed

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

var start = time.Unix(1000, 0)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9 }

// Guards against samples that make means infinite, or against logarithms of nothing.
func TestInvalidSamplesAreIgnored(t *testing.T) {
	m := NewMeter()
	for _, seconds := range []float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		assert.Equal(t, m.ObserveEvents(start, 1, seconds, 8, 0.5), Deviation{})
		_, ok := Stall(seconds, 0.01, 0.5)
		assert.Assert(t, !ok)
	}
	m.ObserveEvents(start, 1, 0.2, 8, math.NaN())
	m.ObserveEvents(start, 1, 0.2, MinRunEvents-1, 0.5)
	m.ObserveEvents(start, 1, 0.2, 1, 0.5)
	m.ObserveEvents(start, 1, 0.2, -8, 0.5)
	assert.Equal(t, len(m.Own(start)), 0)
	m.ObserveEvents(start, 1, 1e-300, 8, 7)
	m.ObserveEvents(start, 1, 1e300, 8, -7)
	o := m.Own(start)[1]
	assert.Assert(t, o.finite() && o.Load >= 0 && o.Load <= 1 && math.Abs(o.LogEventSeconds) <= maxLog, "%+v", o)
}

// Guards against estimates that follow old samples.
func TestObservationsDecay(t *testing.T) {
	m := NewMeter()
	m.ObserveEvents(start, 1, RunSeconds, 10, 0.5)
	o := m.Own(start.Add(8 * time.Second))[1]
	assert.Assert(t, near(o.Weight, 0.25), "%+v", o)
	assert.Assert(t, near(o.LogEventSeconds, math.Log(0.02)), "%+v", o)
	assert.Equal(t, len(m.Own(start.Add(2*time.Minute))), 0)
	assert.Equal(t, len(m.endpoints), 0)
}

// Guards against counting a daemon's own samples twice once they are in the hubs' sums.
func TestOthersAreTheSumWithoutTheOwnPart(t *testing.T) {
	a, b := NewMeter(), NewMeter()
	for range 5 {
		a.ObserveEvents(start, 1, 0.2, 10, 0.5)
		b.ObserveEvents(start, 1, 0.4, 10, 0.1)
		b.ObserveEvents(start, 2, 0.2, 10, 0.1)
	}
	sum := Observations{}
	sum.Add(a.Own(start), 0)
	sum.Add(b.Own(start), 0)
	others := sum.Without(a.Own(start))
	assert.Equal(t, len(others), 2)
	assert.Assert(t, near(others[1].Weight, 10) && near(others[1].LogEventSeconds, math.Log(0.04)) && near(others[1].Load, 0.1), "%+v", others[1])
	assert.Assert(t, near(others[2].Weight, 5) && near(others[2].LogEventSeconds, math.Log(0.02)), "%+v", others[2])
	assert.Equal(t, len(sum.Without(sum)), 0)
	assert.Assert(t, near(sum.Aged(4 * time.Second)[1].Weight, 7.5))
}

// Guards against a stream that hangs and counts as fast as its earlier events.
func TestStalledStreamCountsBeforeItsNextEvent(t *testing.T) {
	_, ok := Stall(0.39, 0.1, 0.5)
	assert.Assert(t, !ok)
	short, ok := Stall(0.41, 0.1, 0.5)
	assert.Assert(t, ok && near(short.LogEventSeconds, math.Log(0.41)))
	long, _ := Stall(60, 0.1, 0.5)
	assert.Assert(t, long.Weight == maxStallWeight && short.Weight < 1.1, "%v %v", long.Weight, short.Weight)
	_, ok = Stall(5, 0, 0.5) // the usual time isn't known
	assert.Assert(t, !ok)
}

// Guards against what was observed of one run of an endpoint and counts for the next one.
func TestForgottenEndpointHasNoObservations(t *testing.T) {
	m := NewMeter()
	m.ObserveEvents(start, 1, 0.2, 10, 0.5)
	m.Forget(1)
	assert.Equal(t, len(m.Own(start)), 0)
	assert.Equal(t, m.At(start, 1), Observation{})
}

// Guards against a misspelt mode that is taken for another one.
func TestModesOfASetting(t *testing.T) {
	for text, want := range map[string]Mode{"": ModeAuto, "auto": ModeAuto, "on": ModeOn, "off": ModeOff} {
		got, err := ParseMode(text)
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	_, err := ParseMode("Auto")
	assert.ErrorContains(t, err, `"Auto" is not auto, on or off`)
}

// Sums with impossible numbers must not disturb the estimates of other endpoints.
func TestImpossibleObservationsDoNotDisturbOthers(t *testing.T) {
	keys := []rendezvous.ShortKey{1, 2, 3, 4}
	all := Observations{
		1: {Weight: 20, LogEventSeconds: -3},
		2: {Weight: 20, LogEventSeconds: -3},
		3: {Weight: 20, LogEventSeconds: -2},
		4: {Weight: math.Inf(1), LogEventSeconds: math.NaN()},
	}
	f := settle(NewEstimator(), keys, func(k rendezvous.ShortKey) Observation { return all[k] }, ModeAuto)
	assert.Equal(t, f[0], 1.0)
	assert.Equal(t, f[3], 1.0)
	assert.Assert(t, f[2] > 2, "%+v", f)
}
