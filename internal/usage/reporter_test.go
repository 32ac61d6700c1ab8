package usage

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

const window = 5 * time.Second

func TestWindowIsFrozenThenSentOnce(t *testing.T) {
	r := NewReporter(window)
	now := time.Unix(5000, 0).Add(settleDelay)
	counts := func(id uint64) map[fleet.WorkspaceID]uint64 { return map[fleet.WorkspaceID]uint64{"w": id} }
	assert.Equal(t, r.Next(now, now, counts).Kind, Read)
	assert.Equal(t, r.Next(now, now, counts).Kind, Nothing) // one call at a time
	r.Found(0, Record{})
	a := r.Next(now, now, counts)
	assert.Equal(t, a.Kind, Freeze)
	assert.Equal(t, a.Record.Window, uint64(999))
	r.Frozen(1, a.Record)
	a = r.Next(now, now, counts)
	assert.Equal(t, a.Kind, Send)
	r.Sent()
	assert.Equal(t, r.Next(now, now, counts).Kind, Nothing)
	later := now.Add(window)
	assert.Equal(t, r.Next(later, later, counts).Record.Window, uint64(1000))
}

// Holders change at any time, paused ones continue, calls to the store and the
// platform fail before or after they take effect, and counts keep changing. No
// window may be reported with two different counts.
func TestNoWindowIsReportedWithTwoCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var revision uint64
		var stored Record
		reported := map[uint64]map[fleet.WorkspaceID]uint64{}
		now := time.Unix(5000, 0)
		count := uint64(0)
		holders := []*Reporter{NewReporter(window), NewReporter(window)}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, 1).Draw(t, "holder")
			if rapid.IntRange(0, 9).Draw(t, "new") == 0 {
				holders[i] = NewReporter(window)
			}
			r := holders[i]
			count++
			a := r.Next(now, now, func(uint64) map[fleet.WorkspaceID]uint64 {
				return map[fleet.WorkspaceID]uint64{"w": count}
			})
			lost := rapid.IntRange(0, 3).Draw(t, "lost") // 0: before the effect, 1: after it
			switch a.Kind {
			case Read:
				if lost < 2 {
					r.Unsure(now)
					continue
				}
				r.Found(revision, Record{Window: stored.Window, Begun: maps.Clone(stored.Begun)})
			case Freeze:
				won := lost != 0 && a.Revision == revision
				if won {
					revision++
					stored = a.Record
				}
				if lost < 2 || !won {
					r.Unsure(now)
					continue
				}
				r.Frozen(revision, a.Record)
			case Send:
				if lost != 0 {
					if old, ok := reported[a.Record.Window]; ok {
						assert.DeepEqual(t, old, a.Record.Begun)
					}
					reported[a.Record.Window] = a.Record.Begun
				}
				if lost < 2 {
					r.SendFailed(now)
					continue
				}
				r.Sent()
			}
		}
	})
}
