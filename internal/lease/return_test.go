package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// backup is a store of one lease that can come back from an older copy: its
// counter goes back and its numbers are given out again.
type backup struct {
	era   uint64
	saved memStore
}

// saveCopy makes a copy.
func (m *model) saveCopy() {
	m.backup.saved = memStore{version: m.store.version, objects: append([]Observation(nil), m.store.objects...)}
}

// restoreCopy brings the copy back. All that is in it is of the new era.
func (m *model) restoreCopy() {
	b := &m.backup
	if len(b.saved.objects) == 0 {
		return
	}
	b.era++
	m.store.version = objects.RevisionIn(b.era, max(objects.CounterOf(b.saved.version), 1))
	o := b.saved.objects[0]
	o.Version = objects.RevisionIn(b.era, objects.CounterOf(o.Version))
	m.store.objects = []Observation{o}
	m.saveCopy()
}

// allObserved reports whether each daemon has seen the lease once. One that has never
// looked relies on the others' word that they hold it, which is told beside the
// store.
func (m *model) allObserved() bool {
	for _, d := range m.daemons {
		if d.set.Lease(0).seen.Version == 0 {
			return false
		}
	}
	return true
}

// The store is away for a moment and comes back from a copy some seconds old, any
// number of times, beside pauses, late calls and lost answers. What it shows of
// the lease is older than what its holder knows: nobody, or the holder before.
// Never may two daemons order at once, nor a fencing number fall.
func TestNeverTwoHoldersAfterStoreRestore(t *testing.T) {
	held, restores := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(500, 1500).Draw(t, "steps") {
			m.randomStep(t)
			held += m.checkHolders(t)
			switch rapid.IntRange(0, 99).Draw(t, "copy") {
			case 0, 1:
				m.saveCopy()
			case 2:
				if m.allObserved() {
					m.restoreCopy()
					restores++
				}
			}
		}
	})
	if held == 0 || restores == 0 {
		t.Fatal("nothing was checked")
	}
}

// After the store's return somebody holds the lease again, within twice its
// length.
func TestLeaseIsHeldAgainAfterStoreRestore(t *testing.T) {
	for _, daemons := range []int{6, 80, 195} {
		c := newCluster(daemons, 1, 1)
		c.untilHeld(t, 1)
		c.run(time.Minute)
		before := *c.store
		before.objects = append([]Observation(nil), c.store.objects...)
		c.members = c.members[1:] // perhaps the holder: then another one takes it
		c.run(2 * time.Minute)
		c.store.version = objects.RevisionIn(1, objects.CounterOf(before.version))
		o := before.objects[0]
		o.Version = objects.RevisionIn(1, objects.CounterOf(o.Version))
		c.store.objects = []Observation{o}
		c.run(2 * DefaultConfig.Duration)
		if _, held := c.holders(); held != 1 {
			t.Fatalf("%d holders in a fleet of %d", held, daemons)
		}
	}
}
