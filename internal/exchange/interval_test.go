package exchange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The rate of reports at a hub must be bounded at any size of the fleet, and urgent reports
// must not be less frequent than normal ones.
func TestReportRateAtAHubIsBounded(t *testing.T) {
	for daemons := 1; daemons <= 2000; daemons++ {
		normal, urgent := NormalInterval(daemons), UrgentInterval(daemons)
		assert.Assert(t, urgent <= normal, "%d daemons", daemons)
		assert.Assert(t, daemons*int(time.Second) <= 700*int(normal), "%d daemons each %v", daemons, normal)
		assert.Assert(t, daemons*int(time.Second) <= 1000*int(urgent), "%d daemons each %v", daemons, urgent)
	}
}
