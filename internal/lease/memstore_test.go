package lease

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// memStore is a store in memory with one object for each shard and conditional
// writes. It counts calls.
type memStore struct {
	version uint64
	objects []Observation
	reads   int
	writes  int
	down    bool // no call is answered or has an effect
}

func newMemStore(shards int) *memStore { return &memStore{objects: make([]Observation, shards)} }

// write returns the new version, or the current object and false.
func (m *memStore) write(a Action) (Observation, bool) {
	m.writes++
	current := m.objects[a.Shard]
	if current.Version != a.IfVersion {
		return current, false
	}
	m.version++
	m.objects[a.Shard] = Observation{Version: m.version, State: a.State}
	return m.objects[a.Shard], true
}

// member is a daemon under test.
type member struct {
	id  fleet.DaemonID
	set *Set
}

// step ticks a daemon and answers its calls at once. lossRate is the share of the
// answers to writes that is lost.
func (m *memStore) step(now time.Time, d *member, lossRate float64, random *rand.Rand) {
	for _, a := range d.set.Tick(now) {
		switch {
		case m.down:
			m.failCall(now, d, a)
		case a.Kind == List:
			m.reads++
			d.set.Listed(now, m.objects)
		case a.Kind == Read:
			m.reads++
			d.set.Observed(now, a.Shard, m.objects[a.Shard])
		case a.Kind == Write:
			m.answer(now, d, a, random.Float64() < lossRate)
		}
	}
}

// failCall counts a call that has no answer.
func (m *memStore) failCall(now time.Time, d *member, a Action) {
	switch a.Kind {
	case List:
		m.reads++
		d.set.ListFailed()
	case Read:
		m.reads++
		d.set.ReadFailed(now, a.Shard)
	case Write:
		m.writes++
		d.set.WriteAmbiguous(now, a)
	}
}

func (m *memStore) answer(now time.Time, d *member, a Action, lost bool) {
	result, applied := m.write(a)
	switch {
	case lost:
		d.set.WriteAmbiguous(now, a)
	case applied:
		d.set.Wrote(now, a, result.Version)
	default:
		d.set.WriteConflict(now, a, result)
	}
}
