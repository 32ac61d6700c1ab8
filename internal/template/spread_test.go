package template

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"gotest.tools/v3/assert"
)

// daemons is a fleet whose members hear of each other's digests.
type daemons struct {
	ids     []fleet.DaemonID
	stores  []*Store
	spreads []*Spread
	random  *rand.Rand
	now     time.Time
	stored  []Revision // what the platform's store holds
	up      bool       // the platform's store answers
	deaf    map[int]bool
	lists   int
	fetches int
	most    int // fetches from one daemon in one tick
}

// ticksASecond and heardEach set the pace: each daemon hears the digests of a
// few others in each tick, as the membership's probes carry them.
const (
	ticksASecond = 5
	heardEach    = 4
)

func newDaemons(n int, up bool, stored ...Revision) *daemons {
	d := &daemons{random: rand.New(rand.NewPCG(1, uint64(n))), now: noon, stored: stored, up: up, deaf: map[int]bool{}}
	for i := range n {
		store := NewStore()
		d.ids = append(d.ids, fleet.DaemonID(fmt.Sprintf("daemon-%03d", i)))
		d.stores = append(d.stores, store)
		d.spreads = append(d.spreads, NewSpread(DefaultSpread, store, rand.New(rand.NewPCG(2, uint64(i))), d.now))
	}
	return d
}

// tick lets a fifth of a second pass.
func (d *daemons) tick() {
	d.now = d.now.Add(time.Second / ticksASecond)
	asked := map[fleet.DaemonID]int{}
	for i, s := range d.spreads {
		for range heardEach {
			j := d.random.IntN(len(d.ids))
			if j != i && !d.deaf[i] {
				s.Heard(d.now, d.ids[j], d.stores[j].Digest())
			}
		}
		for _, a := range s.Tick(d.now) {
			asked[a.Peer]++
			d.do(i, a)
		}
	}
	delete(asked, "")
	for _, n := range asked {
		d.most = max(d.most, n)
	}
}

func (d *daemons) do(i int, a Action) {
	s := d.spreads[i]
	if a.Kind == ListStore {
		d.lists++
		if d.up {
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
		if newer, ok := d.stores[j].Newer(a.Have); ok {
			s.Fetched(d.now, id, newer...)
		} else {
			s.FetchFailed(d.now, id)
		}
	}
}

// until ticks until every daemon satisfies f and returns the time that took.
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

// A change is accepted, and the store goes down before any watch tells of it.
// The daemon that wrote it tells the others, and all have it within seconds.
func TestChangeSpreadsWithTheStoreDown(t *testing.T) {
	d := newDaemons(9, true, revision(t, small("a"), 3))
	d.until(t, (*Store).Ready)
	d.up = false
	for _, s := range d.spreads {
		s.WatchFailed()
	}
	d.stores[0].Apply(revision(t, small("a"), 8))
	took := d.until(t, func(s *Store) bool { return s.Snapshot().Version("a") == 8 })
	assert.Assert(t, took < 15*time.Second, "%s", took)
}

// With the store down, a daemon that starts gets everything from a peer and
// only then serves. One that reaches neither refuses, however long it waits.
func TestNewDaemonCatchesUpWithAPeer(t *testing.T) {
	d := newDaemons(4, true, revision(t, small("a"), 3))
	d.until(t, (*Store).Ready)
	d.up = false
	for _, i := range []int{2, 3} {
		d.stores[i] = NewStore()
		d.spreads[i] = NewSpread(DefaultSpread, d.stores[i], d.random, d.now)
	}
	d.deaf[3] = true
	for range 60 * ticksASecond {
		d.tick()
	}
	assert.Assert(t, d.stores[2].Ready())
	assert.Equal(t, d.stores[2].Snapshot().Version("a"), uint64(3))
	assert.Assert(t, !d.stores[3].Ready())
	assert.Assert(t, d.stores[0].Ready(), "a daemon that had caught up goes on without the store")
}

// Two daemons each miss what the other has, and both have the same newest
// version. Digests must show it, or they differ until the next full list.
func TestPeersWithEachOthersGapsMeet(t *testing.T) {
	d := newDaemons(2, false)
	a, b, c := revision(t, small("a"), 3), revision(t, small("b"), 4), revision(t, small("c"), 9)
	d.stores[0].Apply(a, c)
	d.stores[1].Apply(b, c)
	for _, s := range d.stores {
		s.CaughtUp(noon)
	}
	d.until(t, func(s *Store) bool { return len(s.held) == 3 })
}

// A peer's digest differs but it has nothing new, for instance because this
// daemon can't use what it has. It must not be asked in each tick.
func TestFruitlessPeerIsSpacedOut(t *testing.T) {
	d := newDaemons(2, false)
	d.stores[0].Apply(revision(t, small("a"), 3))
	d.stores[0].CaughtUp(noon)
	d.stores[1].Apply(Revision{Name: "a", Version: 3})
	d.stores[1].CaughtUp(noon)
	for range 600 * ticksASecond {
		d.tick()
	}
	assert.Assert(t, d.fetches > 1 && d.fetches < 20, "%d fetches in ten minutes", d.fetches)
}

// In quiet a daemon asks no peer, and the fleet lists the store at one rate
// whatever its size.
func TestQuietFleetCallsAreBounded(t *testing.T) {
	d := newDaemons(60, true, revision(t, small("a"), 3))
	d.until(t, (*Store).Ready)
	d.lists, d.fetches = 0, 0
	for range 1200 * ticksASecond {
		d.tick()
	}
	assert.Equal(t, d.fetches, 0)
	assert.Assert(t, d.lists <= 2*20, "%d lists in 20 minutes", d.lists)
}
