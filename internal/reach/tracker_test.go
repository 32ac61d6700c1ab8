package reach

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

var start = time.Unix(1000, 0)

// Guards against a single endpoint that is down, or slow, and is taken for a lost path.
func TestOneEndpointIsNotThePath(t *testing.T) {
	tr := New()
	for i := range 10 {
		tr.Failed(start.Add(time.Duration(i)*100*time.Millisecond), "s", "e1", 4)
	}
	assert.Equal(t, len(tr.Due(start.Add(time.Second))), 0)
	tr.Silent("s")
	assert.DeepEqual(t, tr.Due(start.Add(time.Second)), []string{"s"})
	assert.Equal(t, tr.Probed(start.Add(time.Second), "s", 1, 4), Unchanged)
	assert.Assert(t, !tr.Lost("s"))
}

func TestPathIsLostWhereNoEndpointCanBeReached(t *testing.T) {
	tr := New()
	tr.Failed(start, "s", "e1", 4)
	tr.Failed(start, "s", "e2", 4)
	assert.DeepEqual(t, tr.Due(start), []string{"s"})
	assert.Equal(t, tr.Probed(start, "s", 0, 4), Lost)
	assert.Equal(t, tr.DirectShare(start, "s"), 0.0)
	assert.DeepEqual(t, tr.LostServices(), []string{"s"})
	tr.Failed(start, "other", "o1", 4) // one failure suffices now
	assert.DeepEqual(t, tr.Due(start), []string{"other"})
}

// Guards against an endpoint that is probed all the time while it says nothing.
func TestSilentEndpointIsProbedLessAndLess(t *testing.T) {
	tr := New()
	probes := 0
	for ms := 0; ms < 10_000; ms += 100 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		tr.Silent("s")
		for range tr.Due(now) {
			probes++
			tr.Probed(now, "s", 3, 3)
		}
	}
	assert.Assert(t, probes <= 8, "%d in 10 s", probes)
}

// Guards against a path that is found lost late, since its endpoints were silent just before.
func TestFailuresAreProbedSoonAfterSilence(t *testing.T) {
	tr := New()
	now := start
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		tr.Silent("s")
		for range tr.Due(now) {
			tr.Probed(now, "s", 3, 3)
		}
	}
	tr.Failed(now, "s", "e1", 4)
	tr.Failed(now, "s", "e2", 4)
	assert.DeepEqual(t, tr.Due(now.Add(minProbePause)), []string{"s"})
}

// Guards against a daemon that reports often for ever after one failure.
func TestSuspicionEnds(t *testing.T) {
	tr := New()
	tr.Failed(start, "s", "e1", 4)
	assert.Assert(t, tr.Suspects(start))
	assert.Assert(t, !tr.Suspects(start.Add(2*failureMemory)))
}

// Guards against requests that all return at once to a path that seems restored.
func TestRestoredPathIsUsedStepByStep(t *testing.T) {
	tr := New()
	tr.Probed(start, "s", 0, 4)
	tr.Connected("s")
	assert.Assert(t, tr.Lost("s"))
	assert.Equal(t, tr.Probed(start.Add(time.Second), "s", 1, 4), Unchanged)
	assert.Equal(t, tr.Probed(start.Add(2*time.Second), "s", 0, 4), Unchanged)
	assert.Equal(t, tr.Probed(start.Add(3*time.Second), "s", 4, 4), Unchanged)
	assert.Equal(t, tr.Probed(start.Add(4*time.Second), "s", 4, 4), Restored)
	assert.Equal(t, tr.DirectShare(start.Add(4*time.Second), "s"), 0.0)
	assert.Equal(t, tr.DirectShare(start.Add(5*time.Second), "s"), 0.5)
	assert.Equal(t, tr.DirectShare(start.Add(7*time.Second), "s"), 1.0)
}

// Guards against failures that add up over minutes.
func TestOldFailuresDoNotCount(t *testing.T) {
	tr := New()
	for i := range 20 {
		tr.Failed(start.Add(time.Duration(i)*2*failureMemory), "s", fleet.EndpointID(fmt.Sprint(i)), 4)
	}
	assert.Equal(t, len(tr.Due(start.Add(time.Hour))), 0)
}
