package exchange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A hub answers every daemon of the fleet. Its work must not grow without bound
// with the fleet, nor may the daemons hear of each other more seldom where a limit
// is short than where none is.
func TestReportRateAtAHubIsBounded(t *testing.T) {
	for daemons := 1; daemons <= 2000; daemons++ {
		calm, urgent := NormalInterval(daemons), UrgentInterval(daemons)
		assert.Assert(t, urgent <= calm, "%d daemons", daemons)
		assert.Assert(t, daemons*int(time.Second) <= 700*int(calm), "%d daemons each %v", daemons, calm)
		assert.Assert(t, daemons*int(time.Second) <= 1000*int(urgent), "%d daemons each %v", daemons, urgent)
	}
}
