package retry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

var start = time.Unix(1000, 0)

func view(states ...membership.State) (out []membership.Member) {
	for i, s := range states {
		out = append(out, membership.Member{Instance: fleet.InstanceID(fmt.Sprint(i)), State: s})
	}
	return out
}

// Guards against leaving daemons that each take the whole slack for their own.
func TestLeavingDaemonsGoOnSharingTheSlack(t *testing.T) {
	s := NewSharers("1", config.Window, start.Add(-time.Minute), true)
	s.Update(start, start, view(membership.Leaving, membership.Leaving, membership.SuspectLeaving))
	assert.Equal(t, s.Daemons(), 3)
}

// Guards against a slack that both sides of a cut use whole.
func TestDaemonsBehindACutGoOnSharingTheSlack(t *testing.T) {
	s := NewSharers("1", config.Window, start.Add(-time.Minute), true)
	for hour := range 2 {
		now := start.Add(time.Duration(hour) * time.Hour)
		s.Update(now, now, view(membership.Alive, membership.Dead, membership.Dead, membership.Suspect))
		assert.Equal(t, s.Daemons(), 4)
	}
}

// Guards against the share of a daemon that has left being used again within the window.
func TestShareOfADaemonThatLeftIsFreeAfterTheWindow(t *testing.T) {
	s := NewSharers("1", config.Window, start.Add(-time.Minute), true)
	gone := view(membership.Alive, membership.Left)
	for _, c := range []struct {
		after time.Duration
		want  int
	}{{0, 2}, {config.Window, 2}, {config.Window + settleTime + time.Second, 1}} {
		s.Update(start.Add(c.after), start, gone)
		assert.Equal(t, s.Daemons(), c.want, "%v", c.after)
	}
	s.Update(start.Add(time.Minute), start, view(membership.Alive, membership.Leaving)) // back, and leaves again
	s.Update(start.Add(2*time.Minute), start, gone)
	assert.Equal(t, s.Daemons(), 2)
}

// Guards against a new process behind a cut that counts its own side alone.
func TestNewProcessCountsThoseOfBefore(t *testing.T) {
	s := NewSharers("1", config.Window, start, false)
	s.Update(start, start, view(membership.Alive))
	assert.Equal(t, s.Daemons(), 0, "unknown until the checkpoint is read")
	s.Restore(Peak{Daemons: 6, At: start.Add(-time.Hour)})
	s.Update(start, start, view(membership.Alive, membership.Alive))
	assert.Equal(t, s.Daemons(), 6)
	assert.Equal(t, s.Peak(), Peak{Daemons: 6, At: start.Add(-time.Hour)})
	later := start.Add(peakLifetime)
	s.Update(later, later, view(membership.Alive, membership.Alive))
	assert.Equal(t, s.Daemons(), 2)
	assert.Equal(t, s.Peak(), Peak{Daemons: 2, At: later})
}

// Guards against a fleet that starts for the first time and whose daemons know few others yet.
func TestNewFleetHasNoSlackUntilItsDaemonsKnowEachOther(t *testing.T) {
	s := NewSharers("1", config.Window, start, true)
	s.Update(start.Add(time.Second), start, view(membership.Alive))
	assert.Equal(t, s.Daemons(), 0)
	s.Update(start.Add(settleTime), start, view(membership.Alive, membership.Alive))
	assert.Equal(t, s.Daemons(), 2)
}

// Guards against daemons that end unseen behind a cut, or whose end is seen too late.
func TestCallersMayMoveFromDaemonsThatDepartOrMayServeUnseen(t *testing.T) {
	s := NewSharers("1", config.Window, start.Add(-time.Minute), true)
	for i, c := range []struct {
		view []membership.Member
		want bool
	}{
		{view(membership.Alive, membership.Alive), false},
		{view(membership.Alive, membership.Suspect), false},
		{view(membership.Alive, membership.Leaving), true},
		{view(membership.Alive, membership.Left), false},
		{view(membership.Alive, membership.Alive), false},
		{view(membership.Alive, membership.Dead), true},
		{view(membership.Alive, membership.Dead), true},
		{view(membership.Alive, membership.Alive), false},
	} {
		assert.Equal(t, s.Update(start, start, c.view), c.want, "view %d", i)
	}
}

// Guards against a fleet of many daemons none of which has a whole retry to send.
func TestDaemonsOfALargeFleetShareWholeRetries(t *testing.T) {
	const daemons = 986
	var all []membership.Member
	for i := range daemons {
		all = append(all, membership.Member{Instance: fleet.InstanceID(fmt.Sprintf("%03d", i))})
	}
	retries := 0
	for _, m := range all {
		s := NewSharers(m.Instance, config.Window, start.Add(-time.Minute), true)
		s.Update(start, start, all)
		b := NewBudgets(config, start.Add(-time.Minute), true)
		b.SetDaemons(s.Daemons(), s.Offset())
		retries += takeAll(b, start)
	}
	assert.Equal(t, retries, 45) // 0.86 * 52
}

// BenchmarkUpdate measures the count of a large fleet's daemons, which is made four times a second.
func BenchmarkUpdate(b *testing.B) {
	var all []membership.Member
	for i := range 986 {
		all = append(all, membership.Member{Instance: fleet.InstanceID(fmt.Sprintf("%03d", i)), Daemon: "d"})
	}
	s := NewSharers("500", config.Window, start, true)
	for b.Loop() {
		s.Update(start, start, all)
	}
}
