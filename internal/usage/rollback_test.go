package usage

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// storedRecord is a record in the store, with its revision's counter.
type storedRecord struct {
	counter uint64
	record  Record
}

// The store is restored from a copy some seconds old, and a record that was frozen
// and sent is lost. Neither the same holder nor a new one may report that window
// with other counts.
func TestNoWindowIsReportedWithTwoCountsAfterAStoreRollback(t *testing.T) {
	rollbacks, reports := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		era := uint64(1)
		var stored storedRecord
		backup := stored
		reported := map[uint64]map[fleet.WorkspaceID]uint64{}
		clock := time.Unix(5000, 0)
		r := NewReporter(window)
		count := uint64(0)
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			clock = clock.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 19).Draw(t, "event") {
			case 0:
				r = NewReporter(window) // another holder, or the same one after it lost the lease
			case 1, 2:
				backup = stored
			case 3:
				if backup.counter > 0 {
					era, stored = era+1, backup
					rollbacks++
				}
			}
			count++
			revision := objects.RevisionIn(era, stored.counter)
			a := r.Next(clock, clock, func(uint64) map[fleet.WorkspaceID]uint64 {
				return map[fleet.WorkspaceID]uint64{"w": count}
			})
			switch a.Kind {
			case Read:
				r.Found(revision, Record{Window: stored.record.Window, Begun: maps.Clone(stored.record.Begun), Era: stored.record.Era})
			case Freeze:
				if a.Revision != revision {
					r.Unsure(clock)
					continue
				}
				a.Record.Era = era
				stored = storedRecord{stored.counter + 1, a.Record}
				r.Frozen(objects.RevisionIn(era, stored.counter), a.Record)
			case Send:
				if old, ok := reported[a.Record.Window]; ok {
					assert.DeepEqual(t, old, a.Record.Begun)
				}
				reported[a.Record.Window] = a.Record.Begun
				reports++
				r.Sent()
			}
		}
	})
	if rollbacks == 0 || reports == 0 {
		t.Fatal("nothing was checked")
	}
}

// No window is skipped if the store was not restored from a copy.
func TestNewHolderContinuesInTheSameEra(t *testing.T) {
	r := NewReporter(window)
	now := time.Unix(5000, 0).Add(settleDelay)
	r.Next(now, now, nil)
	r.Found(objects.RevisionIn(3, 7), Record{Window: 998, Era: 3})
	r.Next(now, now, nil)
	r.Sent()
	a := r.Next(now, now, func(uint64) map[fleet.WorkspaceID]uint64 { return nil })
	assert.Equal(t, a.Record.Window, uint64(999))
}
