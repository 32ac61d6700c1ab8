package quota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fleet that admits a limit once more after a kill of all daemons,
// just when one workspace's demand had jumped.
func TestLimitIsKeptWhenAllDaemonsAreKilled(t *testing.T) {
	for _, daemons := range []int{6, 9, 80, 195, 340} {
		for _, peak := range []float64{3, 6} {
			t.Run(fmt.Sprintf("%ddaemons_%.0flimits", daemons, peak), func(t *testing.T) {
				used := worstAfterKill(daemons, peak)
				assert.Assert(t, used <= 1, "%.3f of what is tolerated", used)
			})
		}
	}
}

// worstAfterKill returns the most that is admitted, as a part of what is tolerated,
// over jumps at several times before the kill and checkpoints at several phases.
func worstAfterKill(daemons int, peak float64) float64 {
	const killAt = 10 * time.Second
	worst := 0.0
	for _, jump := range []time.Duration{100, 300, 600, 900, 1400, 3000} {
		for phase := time.Duration(0); phase < time.Second; phase += 300 * time.Millisecond {
			f := &sizedFleet{
				daemons: daemons, jumpAt: killAt - jump*time.Millisecond, killAt: killAt,
				checkpointPhase: phase, rediscovery: 200 * time.Millisecond, peakDemand: peak,
			}
			f.run(uint64(jump+phase), 19*time.Second)
			worst = max(worst, f.toleranceUsed())
		}
	}
	return worst
}
