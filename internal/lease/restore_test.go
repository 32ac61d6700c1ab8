package lease

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
)

// backup is the copy from which the model's store of one lease is restored: the
// store's counter goes back, and gives its numbers out again in a new era.
type backup struct {
	era   uint64
	saved memStore
}

func (m *model) saveCopy() {
	m.backup.saved = memStore{version: m.store.version, objects: append([]Observation(nil), m.store.objects...)}
}

// restoreCopy restores the store from the copy. All versions in it are then of
// the new era.
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

// allObserved reports whether each daemon has read the lease once. One that never
// has can't detect a restore by itself: it depends on the holder's own messages
// to other daemons, which aren't part of the model.
func (m *model) allObserved() bool {
	for _, d := range m.daemons {
		if d.set.Lease(0).seen.Version == 0 {
			return false
		}
	}
	return true
}

// The store is restored from a copy some seconds old, any number of times, along
// with pauses, late calls and lost answers. It then shows an older state of the
// lease: no holder, or an earlier one. At no time may two daemons be allowed to
// send orders, or a fencing number decrease.
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

// After the store is restored from an older copy, a daemon holds the lease again
// within twice the lease's duration.
func TestLeaseIsHeldAgainAfterStoreRestore(t *testing.T) {
	for _, daemons := range []int{6, 80, 195} {
		c := newCluster(daemons, 1, 1)
		c.untilHeld(t, 1)
		c.run(time.Minute)
		before := *c.store
		before.objects = append([]Observation(nil), c.store.objects...)
		c.members = c.members[1:] // perhaps the holder: then another one acquires the lease
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
