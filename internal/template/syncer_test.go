package template

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"gotest.tools/v3/assert"
)

// daemons is a simulated fleet whose daemons exchange digests.
type daemons struct {
	ids        []fleet.DaemonID
	stores     []*Store
	syncers    []*Syncer
	random     *rand.Rand
	now        time.Time
	stored     []Revision   // the content of the platform's store
	storeUp    bool         // whether the platform's store responds
	noDigests  map[int]bool // daemons that receive no digests
	lists      int
	fetches    int
	maxFetches int // maximum of fetches from one daemon in one tick
}

// Each daemon receives the digests of up to digestsPerTick others in each tick,
// as it would with the probes of the membership.
const (
	ticksPerSecond = 5
	digestsPerTick = 4
)

func newDaemons(n int, up bool, stored ...Revision) *daemons {
	d := &daemons{random: rand.New(rand.NewPCG(1, uint64(n))), now: noon, stored: stored, storeUp: up, noDigests: map[int]bool{}}
	for i := range n {
		store := NewStore()
		d.ids = append(d.ids, fleet.DaemonID(fmt.Sprintf("daemon-%03d", i)))
		d.stores = append(d.stores, store)
		d.syncers = append(d.syncers, NewSyncer(DefaultSyncConfig, store, rand.New(rand.NewPCG(2, uint64(i))), d.now))
	}
	return d
}

// tick advances the time by one tick, delivers digests and makes the calls due.
func (d *daemons) tick() {
	d.now = d.now.Add(time.Second / ticksPerSecond)
	asked := map[fleet.DaemonID]int{}
	for i, s := range d.syncers {
		for range digestsPerTick {
			j := d.random.IntN(len(d.ids))
			if j != i && !d.noDigests[i] {
				s.DigestReceived(d.now, d.ids[j], d.stores[j].Digest())
			}
		}
		for _, a := range s.Tick(d.now) {
			asked[a.Peer]++
			d.do(i, a)
		}
	}
	delete(asked, "")
	for _, n := range asked {
		d.maxFetches = max(d.maxFetches, n)
	}
}

func (d *daemons) do(i int, a Action) {
	s := d.syncers[i]
	if a.Kind == ListStore {
		d.lists++
		if d.storeUp {
			s.Listed(d.now, d.stored...)
		} else {
			s.ListFailed(d.now)
		}
		return
	}
	d.fetches++
	for j, id := range d.ids {
		if id != a.Peer {
			continue
		}
		if newer, ok := d.stores[j].Newer(a.KnownVersions); ok {
			s.Fetched(d.now, id, newer...)
		} else {
			s.FetchFailed(d.now, id)
		}
	}
}

// until ticks until all daemons satisfy f and returns the simulated time taken.
func (d *daemons) until(t testing.TB, f func(*Store) bool) time.Duration {
	start := d.now
	for d.now.Sub(start) < time.Hour {
		all := true
		for _, s := range d.stores {
			all = all && f(s)
		}
		if all {
			return d.now.Sub(start)
		}
		d.tick()
	}
	t.Fatal("not all daemons within an hour")
	return 0
}

// A change is accepted, and the store goes down before any watch delivers it.
// The others must fetch it from the daemon that wrote it, within seconds.
func TestChangeSpreadsWithTheStoreDown(t *testing.T) {
	d := newDaemons(9, true, revision(t, small("a"), 3))
	d.until(t, (*Store).Ready)
	d.storeUp = false
	for _, s := range d.syncers {
		s.WatchFailed()
	}
	d.stores[0].Apply(revision(t, small("a"), 8))
	took := d.until(t, func(s *Store) bool { return s.Snapshot().Version("a") == 8 })
	assert.Assert(t, took < 15*time.Second, "%s", took)
}

// With the store down, a new daemon must fetch everything from a peer before it
// is ready. One that reaches neither the store nor a peer must never be ready,
// as it would serve without the templates.
func TestNewDaemonCatchesUpFromAPeer(t *testing.T) {
	d := newDaemons(4, true, revision(t, small("a"), 3))
	d.until(t, (*Store).Ready)
	d.storeUp = false
	for _, i := range []int{2, 3} {
		d.stores[i] = NewStore()
		d.syncers[i] = NewSyncer(DefaultSyncConfig, d.stores[i], d.random, d.now)
	}
	d.noDigests[3] = true
	for range 60 * ticksPerSecond {
		d.tick()
	}
	assert.Assert(t, d.stores[2].Ready())
	assert.Equal(t, d.stores[2].Snapshot().Version("a"), uint64(3))
	assert.Assert(t, !d.stores[3].Ready())
	assert.Assert(t, d.stores[0].Ready(), "a daemon that had caught up goes on without the store")
}

// Two daemons each miss a change that the other has, and their newest versions
// are equal. Their digests must differ, or neither fetches before the next full
// list.
func TestPeersWithDifferentGapsConverge(t *testing.T) {
	d := newDaemons(2, false)
	a, b, c := revision(t, small("a"), 3), revision(t, small("b"), 4), revision(t, small("c"), 9)
	d.stores[0].Apply(a, c)
	d.stores[1].Apply(b, c)
	for _, s := range d.stores {
		s.CaughtUp(noon)
	}
	d.until(t, func(s *Store) bool { return len(s.active) == 3 })
}

// A peer's digest differs but it has nothing new, for instance because its
// revision is unusable for this daemon. It must not be asked in each tick.
func TestPeerWithNothingNewIsBackedOff(t *testing.T) {
	d := newDaemons(2, false)
	d.stores[0].Apply(revision(t, small("a"), 3))
	d.stores[0].CaughtUp(noon)
	d.stores[1].Apply(Revision{Name: "a", Version: 3})
	d.stores[1].CaughtUp(noon)
	for range 600 * ticksPerSecond {
		d.tick()
	}
	assert.Assert(t, d.fetches > 1 && d.fetches < 20, "%d fetches in ten minutes", d.fetches)
}

// Without changes, daemons must not fetch from peers, and the rate of the
// fleet's lists must not grow with its size.
func TestCallsWithoutChangesAreBounded(t *testing.T) {
	d := newDaemons(60, true, revision(t, small("a"), 3))
	d.until(t, (*Store).Ready)
	d.lists, d.fetches = 0, 0
	for range 1200 * ticksPerSecond {
		d.tick()
	}
	assert.Equal(t, d.fetches, 0)
	assert.Assert(t, d.lists <= 2*20, "%d lists in 20 minutes", d.lists)
}
