package origin

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// playCopyDelay is how long a copy of an origin takes to its home, and playStreamLife the
	// longest time from a stream's first event to its end.
	playCopyDelay  = 5 * time.Millisecond
	playStreamLife = 3 * time.Second
	// playStreams is the number of streams in progress at each daemon.
	playStreams = 12
	// leastGoingOn is the least share of streams that must go on of the share of new ones that
	// begin.
	leastGoingOn = 0.5
)

// play is a fleet whose daemons exchange the origins of streams without sockets.
type play struct {
	rng    *rand.Rand
	names  []string
	tables map[string]*Table
	alive  map[string]bool
}

func newPlay(n int) *play {
	p := &play{rng: rand.New(rand.NewPCG(uint64(n), 7)), tables: map[string]*Table{}, alive: map[string]bool{}}
	for i := range n {
		p.add(fmt.Sprintf("entry-%d", i))
	}
	return p
}

func (p *play) add(name string) {
	p.names = append(p.names, name)
	p.tables[name], p.alive[name] = NewTable(), true
}

// homes returns the homes as one daemon sees the fleet.
func (p *play) homes(self string) *Homes {
	var all []Daemon
	for _, name := range p.names {
		all = append(all, Daemon{Name: name, Address: name})
	}
	return NewHomes(self, all)
}

// begin begins a stream at a daemon some time before its kill, when copies that are on their
// way are lost.
func (p *play) begin(name string, homes *Homes, k Key, o Origin, before time.Duration) {
	p.tables[name].Put(start, k, o)
	if before < playCopyDelay {
		return
	}
	for _, home := range homes.Of(k, Copies) {
		p.tables[home].Put(start, k, o)
	}
}

// find asks as a daemon does where a caller takes a stream up.
func (p *play) find(name string, homes *Homes, k Key) (Origin, bool) {
	if o, known := p.tables[name].Get(start, k); known {
		return o, true
	}
	for _, home := range homes.Of(k, Asked) {
		if o, known := p.tables[home].Get(start, k); known && p.alive[home] {
			return o, true
		}
	}
	return Origin{}, false
}

// Guards against streams that can't go on, or go on at a version that didn't begin them, when
// a part of the daemons is killed and others have joined.
func TestStreamsGoOnAfterKillsAtAnySize(t *testing.T) {
	for _, n := range []int{9, 78, 340, 986} {
		for _, killed := range []float64{0.34, 0.56} {
			for _, joined := range []int{0, 1, n / 10} {
				p := newPlay(n)
				type stream struct {
					key Key
					o   Origin
					at  string
				}
				var streams []stream
				for _, name := range p.names {
					homes := p.homes(name)
					for i := range playStreams {
						s := stream{KeyOf("w", fmt.Sprint(name, "-", i)), Origin{"s", fmt.Sprint("v", p.rng.IntN(2))}, name}
						p.begin(name, homes, s.key, s.o, time.Duration(p.rng.Int64N(int64(playStreamLife))))
						streams = append(streams, s)
					}
				}
				for i := range joined {
					p.add(fmt.Sprintf("new-%d", i))
				}
				for _, i := range p.rng.Perm(n)[:int(killed*float64(n))] {
					p.alive[p.names[i]], p.tables[p.names[i]] = false, NewTable() // started again, empty
				}
				known, broken, views := 0, 0, map[string]*Homes{}
				for _, s := range streams {
					if p.alive[s.at] {
						continue
					}
					broken++
					at := p.names[p.rng.IntN(len(p.names))]
					for !p.alive[at] {
						at = p.names[p.rng.IntN(len(p.names))]
					}
					if views[at] == nil {
						views[at] = p.homes(at)
					}
					o, ok := p.find(at, views[at], s.key)
					if ok {
						known++
						assert.Equal(t, o, s.o)
					}
				}
				share := float64(known) / float64(broken)
				t.Logf("%d daemons, %.2f killed, %d joined: %.3f of %d streams go on", n, killed, joined, share, broken)
				assert.Assert(t, share >= leastGoingOn)
			}
		}
	}
}

// Guards against homes that a restart of a daemon moves, and against a home that is the daemon
// itself.
func TestHomesStayWhereADaemonRestarts(t *testing.T) {
	before := NewHomes("a", []Daemon{{"a", "1"}, {"b", "2"}, {"c", "3"}, {"d", "4"}})
	after := NewHomes("a", []Daemon{{"d", "4"}, {"c", "3"}, {"b", "2"}, {"a", "5"}})
	for k := range Key(100) {
		assert.DeepEqual(t, before.Of(k, 2), after.Of(k, 2))
		assert.Equal(t, len(before.Of(k, 5)), 3)
	}
	assert.Equal(t, len(NewHomes("a", nil).Of(1, 2)), 0)
}

func BenchmarkHomesOfAThousand(b *testing.B) {
	homes := newPlay(986).homes("entry-0")
	for i := range b.N {
		homes.Of(Key(i)*0x9e3779b97f4a7c15, Copies)
	}
}
