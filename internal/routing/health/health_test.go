package health

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestMayEjectAtMostHalf(t *testing.T) {
	assert.Assert(t, !MayEject(0, 1))
	assert.Assert(t, MayEject(0, 2))
	assert.Assert(t, !MayEject(1, 3))
	assert.Assert(t, MayEject(4, 10))
	assert.Assert(t, !MayEject(5, 10))
}

func TestProbesBackOffAndStopOnceConnected(t *testing.T) {
	var h Tracker
	h.DialFailed(0, true)
	assert.Assert(t, h.DialFailed(0, true))
	probes := 0
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		if h.ProbeDue(int64(at)) {
			probes++
		}
	}
	assert.Assert(t, probes >= 8 && probes <= 11, "%d probes in a minute", probes)
	assert.Assert(t, h.Connected())
	assert.Assert(t, !h.ProbeDue(int64(time.Hour)))
}

func TestFailingEndpointStaysInUseWhileItMayNotBeEjected(t *testing.T) {
	var h Tracker
	h.DialFailed(0, false)
	assert.Assert(t, !h.DialFailed(0, false))
	assert.Equal(t, h.State(), Failing)
	assert.Assert(t, h.Usable() && h.DialsFailing())
	assert.Assert(t, h.DialFailed(0, true))
}
