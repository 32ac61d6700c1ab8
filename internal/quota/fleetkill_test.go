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
	t.Parallel()
	forRoutes(t, func(t *testing.T, routes []playRoute) {
		for _, daemons := range []int{6, 9, 80, 195, 340} {
			for _, peak := range []float64{3, 6} {
				t.Run(fmt.Sprintf("%ddaemons_%.0flimits", daemons, peak), func(t *testing.T) {
					t.Parallel()
					used := worstAfterKill(daemons, peak, routes)
					assert.Assert(t, used <= 1, "%.3f of what is tolerated", used)
				})
			}
		}
	})
}

// worstAfterKill returns the most that is admitted, as a part of what is tolerated,
// over jumps at several times before the kill and checkpoints at several phases.
func worstAfterKill(daemons int, peak float64, routes []playRoute) float64 {
	const killAt = 10 * time.Second
	phaseStep, worst := 300*time.Millisecond, 0.0
	if len(routes) > 1 {
		phaseStep = 600 * time.Millisecond
	}
	for _, jump := range []time.Duration{100, 300, 600, 900, 1400, 3000} {
		for phase := time.Duration(0); phase < time.Second; phase += phaseStep {
			f := &sizedFleet{
				daemons: daemons, jumpAt: killAt - jump*time.Millisecond, killAt: killAt,
				checkpointPhase: phase, rediscovery: 200 * time.Millisecond, peakDemand: peak, routes: routes,
			}
			f.run(uint64(jump+phase), 19*time.Second)
			worst = max(worst, f.toleranceUsed())
		}
	}
	return worst
}
