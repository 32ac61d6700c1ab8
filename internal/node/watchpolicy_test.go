package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/follow"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// The hubs lose the store. The other daemons must not rely on them for longer than a change
// may take to be in force.
func TestStaleHubsAreDetectedBeforeAChangeIsDue(t *testing.T) {
	const call = 300 * time.Millisecond // a connection and an answer from a slow store
	for _, change := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second} {
		for _, daemons := range []int{13, 80, 195, 266} {
			interval := exchange.NormalInterval(daemons)
			stale := staleAge(interval, staleSlack+switchTime, change)
			assert.Check(t, stale >= hubWait+interval, "a healthy hub is stale at %d daemons", daemons)
			assert.Check(t, stale+roleInterval+call <= change, "%v, of %v at %d daemons", stale, change, daemons)
		}
	}
}

// A watch's connection becomes unresponsive. The watch must be cancelled before the
// platform's bounds apply again.
func TestUnresponsiveWatchIsDetectedBeforeTheBoundsApplyAgain(t *testing.T) {
	for _, contact := range []time.Duration{2 * time.Second, 3 * time.Second, 4 * time.Second, 5 * time.Second, 10 * time.Second} {
		for _, most := range []time.Duration{hubWait, longWait} {
			for _, pause := range []time.Duration{batchDelay, batchDelayAtStart} {
				wait := watchWait(most, pause, contact)
				assert.Check(t, wait <= most && wait >= minWait, "%v", wait)
				again := pause + wait + objects.WatchSlack + 3*follow.FastBackoff().Min/2
				assert.Check(t, again < contact, "the store is called again after %v of %v", again, contact)
			}
		}
	}
}
