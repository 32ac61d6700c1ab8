package relay

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// arrivals feeds a run with events.
type arrivals struct {
	run    eventRun
	now    time.Time
	events int
	heldUp time.Time
	took   time.Duration // of all completed runs
	counts int           // events in them
	runs   int
}

// after lets events arrive after a time of waiting for them.
func (a *arrivals) after(d time.Duration, events int) {
	began := a.now
	a.now = a.now.Add(d)
	a.events += events
	if took, n, ok := a.run.arrived(a.now, began, a.events, a.heldUp); ok {
		a.took, a.counts, a.runs = a.took+took, a.counts+n, a.runs+1
	}
}

func (a *arrivals) perEvent() time.Duration { return a.took / time.Duration(max(a.counts, 1)) }

// Guards against runs so short that one delayed event decides them, and against too many of them.
func TestRunsHaveFourEventsAtLeast(t *testing.T) {
	a := &arrivals{now: time.Unix(1000, 0)}
	for range 40 {
		a.after(150*time.Millisecond, 1)
	}
	assert.Equal(t, a.runs, 9)
	assert.Equal(t, a.perEvent(), 150*time.Millisecond)
	a = &arrivals{now: a.now}
	for range 101 {
		a.after(10*time.Millisecond, 1)
	}
	assert.Equal(t, a.runs, 5)
	assert.Equal(t, a.perEvent(), 10*time.Millisecond)
}

// Guards against a slow caller whose time is counted as the endpoint's, or who makes it look fast.
func TestTimeOfWritingIsNotTheEndpoints(t *testing.T) {
	a := &arrivals{now: time.Unix(1000, 0)}
	write := func(d time.Duration) {
		a.now = a.now.Add(d)
		a.run.written(d)
	}
	for range 30 { // 3 events arrive during each write
		a.after(10*time.Millisecond, 1)
		write(30 * time.Millisecond)
		a.after(0, 3)
	}
	assert.Assert(t, a.runs > 3)
	assert.Equal(t, a.perEvent(), 10*time.Millisecond)
	runs := a.runs
	for range 30 { // the endpoint may have had to wait
		a.after(10*time.Millisecond, 1)
		write(300 * time.Millisecond)
		a.after(0, 3)
	}
	assert.Assert(t, a.runs <= runs+1, "%d", a.runs-runs)
}

// Guards against this process's hold-up that counts as the endpoint's slowness or speed.
func TestHoldUpIsNotTheEndpoints(t *testing.T) {
	a := &arrivals{now: time.Unix(1000, 0)}
	for range 10 {
		a.after(10*time.Millisecond, 1)
	}
	a.heldUp = a.now.Add(3 * time.Second)
	a.after(3*time.Second, 100)
	a.after(0, 100)
	a.after(0, 90)
	for range 100 {
		a.after(10*time.Millisecond, 1)
	}
	assert.Assert(t, a.runs >= 4)
	assert.Equal(t, a.perEvent(), 10*time.Millisecond)
}
