package origin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// playTick is the step of a play of stored origins.
const playTick = 100 * time.Millisecond

// storePlay is a fleet on a store whose daemons begin streams at two versions, without sockets.
type storePlay struct {
	now     time.Time
	rng     *rand.Rand
	daemons []*playDaemon
	byName  map[string]*playDaemon
	rate    float64 // streams a second and daemon
	begun   []playStream

	stored   map[string][]byte
	era      uint64
	refusing bool // the store refuses writes
	needed   bool // several versions serve
	calls    int  // writes, refused ones included
	bytes    int
	revoked  map[Key]bool
}

type playDaemon struct {
	name     string
	down     bool
	earlier  bool // of a release that stores nothing
	table    *Table
	schedule Schedule
	homes    *Homes
	handed   bool
}

type playStream struct {
	StreamOrigin
	by *playDaemon
	at time.Time
}

func newStorePlay(n int, rate float64) *storePlay {
	p := &storePlay{
		now: start, rng: rand.New(rand.NewPCG(uint64(n), 3)), byName: map[string]*playDaemon{}, rate: rate,
		stored: map[string][]byte{}, needed: true, revoked: map[Key]bool{},
	}
	var all []Daemon
	for i := range n {
		d := &playDaemon{name: fmt.Sprintf("entry-%d", i), table: NewTable()}
		p.daemons, p.byName[d.name] = append(p.daemons, d), d
		all = append(all, Daemon{d.name, d.name})
	}
	for _, d := range p.daemons {
		d.homes = NewHomes(d.name, all)
	}
	return p
}

// run lets time pass.
func (p *storePlay) run(d time.Duration) {
	for end := p.now.Add(d); p.now.Before(end); p.now = p.now.Add(playTick) {
		for _, d := range p.daemons {
			if d.down {
				continue
			}
			for n := p.rate * playTick.Seconds(); p.rng.Float64() < n; n-- {
				p.begin(d)
			}
			p.store(d)
		}
	}
}

// begin begins a stream at a daemon.
func (p *storePlay) begin(d *playDaemon) {
	s := StreamOrigin{Key: Key(p.rng.Uint64()), Origin: Origin{"s", fmt.Sprintf("v%d", 1+p.rng.IntN(2))}}
	p.begun = append(p.begun, playStream{s, d, p.now})
	p.note(d, &s)
}

// note records an origin as a daemon does that serves the stream.
func (p *storePlay) note(d *playDaemon, s *StreamOrigin) {
	put(d.table, p.now, s, true)
	homes := Copies
	if s.Unknown {
		homes = Asked
	}
	for _, home := range d.homes.Of(s.Key, homes) {
		if !p.byName[home].down {
			put(p.byName[home].table, p.now, s, false)
		}
	}
	if writer, self := d.homes.Writer(); !self && p.needed && !p.byName[writer].down {
		put(p.byName[writer].table, p.now, s, true)
	}
}

// restore takes a restored origin and sends copies to its homes.
func (p *storePlay) restore(d *playDaemon, s *StreamOrigin) {
	p.putRestored(d, s, true)
	for _, home := range d.homes.Of(s.Key, Copies) {
		if h := p.byName[home]; !h.down {
			p.putRestored(h, s, false)
			if h.table.Contradicted(s.Key) {
				d.table.Revoke(p.now, s.Key)
			}
		}
	}
}

func (p *storePlay) putRestored(d *playDaemon, s *StreamOrigin, own bool) {
	if s.Unknown {
		put(d.table, p.now, s, own)
	} else {
		d.table.PutRestored(p.now, s.Key, s.Origin, own)
	}
}

func put(t *Table, now time.Time, s *StreamOrigin, own bool) {
	switch {
	case s.Unknown && own:
		t.RevokeOwn(now, s.Key)
	case s.Unknown:
		t.Revoke(now, s.Key)
	case own:
		t.PutOwn(now, s.Key, s.Origin)
	default:
		t.Put(now, s.Key, s.Origin)
	}
}

// store lets a daemon write what is due.
func (p *storePlay) store(d *playDaemon) {
	writer, self := d.homes.Writer()
	if !self && p.needed && !d.handed {
		d.handed = true
		for _, s := range d.table.Own(p.now) {
			put(p.byName[writer].table, p.now, &s, true)
		}
	}
	m := Moment{Needed: p.needed && self && !d.earlier, Daemons: len(p.daemons), Stored: Stored{d.table.Changes(), p.era}}
	if !d.schedule.Begin(p.now, m) {
		return
	}
	p.calls++
	if !p.refusing {
		text, _ := json.Marshal(NewStreams(p.now, p.era, d.table.Own(p.now)))
		p.stored[d.name], p.bytes = text, p.bytes+len(text)
	}
	d.schedule.End(m, !p.refusing)
}

// kill kills daemons.
func (p *storePlay) kill(all ...*playDaemon) {
	for _, d := range all {
		d.down, d.table, d.schedule, d.handed = true, NewTable(), Schedule{}, false
	}
}

// restart starts daemons again, which read what they have stored.
func (p *storePlay) restart(all ...*playDaemon) {
	for _, d := range all {
		d.down = false
	}
	for _, d := range all {
		s := &Streams{}
		if json.Unmarshal(p.stored[d.name], s) != nil || s.Check(p.now, p.era) != nil || d.earlier {
			continue
		}
		for _, o := range s.All() {
			p.restore(d, &o)
		}
	}
}

// takeUp returns the share of the streams that began in a time before an instant which go on at
// some daemon, and fails the test if one does at another version.
func (p *storePlay) takeUp(t *testing.T, until time.Time, life time.Duration) float64 {
	t.Helper()
	all, known := 0, 0
	for i := range p.begun {
		s := &p.begun[i]
		if !s.at.Before(until) || until.Sub(s.at) > life {
			continue
		}
		all++
		if o, ok := p.find(p.daemons[p.rng.IntN(len(p.daemons))], s.Key); ok {
			known++
			assert.Assert(t, o == s.Origin && !p.revoked[s.Key], "%v goes on at %v", s, o)
		}
	}
	assert.Assert(t, all > 20, "%d streams", all)
	return float64(known) / float64(all)
}

// find asks as a daemon does where a caller takes a stream up.
func (p *storePlay) find(d *playDaemon, k Key) (Origin, bool) {
	if d.table.Settled(k) {
		return d.table.Get(p.now, k)
	}
	for _, home := range d.homes.Of(k, Asked) {
		t := p.byName[home].table
		if t.Settled(k) {
			return t.Get(p.now, k)
		}
		if o, known := t.Get(p.now, k); known {
			d.table.PutRestored(p.now, k, o, false)
		}
	}
	return d.table.Get(p.now, k)
}

// Guards against fewer than half of the streams of two versions going on after a kill of all
// daemons, and against more writes than the store allows.
func TestStreamsGoOnAfterAKillOfAllInFleetsOfAnySize(t *testing.T) {
	for _, n := range []int{1, 9, 78, 340, 986} {
		p := newStorePlay(n, max(4.2, 100/float64(n)))
		p.run(5 * time.Second)
		calls, bytes, killed := p.calls, p.bytes, p.now
		p.kill(p.daemons...)
		p.now = p.now.Add(3 * time.Second)
		p.restart(p.daemons...)
		share, short := p.takeUp(t, killed, playStreamLife), p.takeUp(t, killed, time.Second)
		t.Logf("%d daemons: %.2f go on, %.2f of the last second, %.1f writes/s, %.1f KB/s", n, share, short, float64(calls)/5, float64(bytes)/5e3)
		assert.Assert(t, share >= leastGoingOn && short >= leastGoingOn, "%d daemons: %.2f, %.2f go on", n, share, short)
		assert.Assert(t, calls <= 5*fleetWrites, "%d daemons: %d writes in 5 s", n, calls)
	}
}

// Guards against streams lost, or joined from two versions, by sequences of kills and failures of
// the store.
func TestStoredOriginsThroughKillsAndFailures(t *testing.T) {
	const out = 3 * time.Second
	for _, test := range []struct {
		name        string
		play        func(p *storePlay) (until time.Time)
		least, most float64
	}{
		{"killed before the second version has been stored", func(p *storePlay) time.Time {
			p.needed = false
			p.run(out)
			return p.killAll(out)
		}, 0, 0},
		{"killed a tick after the second version appears", func(p *storePlay) time.Time {
			p.needed = false
			p.run(out)
			p.needed = true
			p.run(playTick)
			return p.killAll(out)
		}, 0.9, 1},
		{"the old version has left, its streams haven't", func(p *storePlay) time.Time {
			p.run(out)
			p.rate = 0
			p.run(time.Second)
			return p.killAll(out)
		}, 0.6, 1},
		{"killed in turn", func(p *storePlay) time.Time {
			p.run(out)
			until := p.now
			for _, d := range p.daemons {
				p.kill(d)
				p.run(playTick)
				p.restart(d)
			}
			return until
		}, leastGoingOn, 1},
		{"killed again before anybody takes a stream up", func(p *storePlay) time.Time {
			p.run(out)
			until := p.killAll(out)
			p.rate = 0
			p.run(1500 * time.Millisecond)
			p.killAll(out)
			return until
		}, leastGoingOn, 1},
		{"killed again at once", func(p *storePlay) time.Time {
			p.run(out)
			until := p.killAll(out)
			p.killAll(out)
			return until
		}, leastGoingOn, 1},
		{"the store refuses writes for a second before the kill", func(p *storePlay) time.Time {
			p.run(out)
			p.refusing = true
			p.run(time.Second)
			return p.killAll(out)
		}, 0.3, 0.9},
		{"the store has refused all writes", func(p *storePlay) time.Time {
			p.refusing = true
			p.run(out)
			return p.killAll(out)
		}, 0, 0},
		{"the store comes back from an older copy during the kill", func(p *storePlay) time.Time {
			p.run(out)
			until := p.killAll(0)
			p.kill(p.daemons...)
			p.era++
			p.restart(p.daemons...)
			return until
		}, 0, 0},
		{"the store comes back from an older copy before the kill", func(p *storePlay) time.Time {
			p.run(out)
			p.era++
			p.rate = 0
			p.run(2 * time.Second)
			return p.killAll(out)
		}, 0.3, 1},
		{"a third of the daemons is of an earlier release", func(p *storePlay) time.Time {
			for _, d := range p.daemons[:3] {
				d.earlier = true
			}
			p.run(out)
			return p.killAll(out)
		}, leastGoingOn * 2 / 3, 0.8},
		{"a third doesn't come back", func(p *storePlay) time.Time {
			p.run(out)
			until := p.now
			p.kill(p.daemons...)
			p.restart(p.daemons[3:]...)
			return until
		}, leastGoingOn * 2 / 3, 0.8},
		{"the daemons exchange their addresses", func(p *storePlay) time.Time {
			p.run(out)
			until := p.now
			p.kill(p.daemons...)
			p.exchangeAddresses()
			p.restart(p.daemons...)
			return until
		}, leastGoingOn, 1},
		{"out for longer than a record may be old", func(p *storePlay) time.Time {
			p.run(out)
			return p.killAll(maxHorizon + time.Second)
		}, 0, 0},
		{"a daemon restarts whose streams were revoked at others", func(p *storePlay) time.Time {
			p.run(out)
			until := p.now
			p.kill(p.daemons[0])
			p.revokeSome(p.daemons[0])
			p.restart(p.daemons[0])
			return until
		}, leastGoingOn, 0.99},
		{"some origins are revoked at other daemons", func(p *storePlay) time.Time {
			p.run(out)
			p.revokeSome(p.daemons...)
			p.rate = 0
			p.run(1500 * time.Millisecond)
			return p.killAll(out)
		}, leastGoingOn, 0.7},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newStorePlay(9, 20)
			until := test.play(p)
			share := p.takeUp(t, until, playStreamLife)
			t.Logf("%.2f go on", share)
			assert.Assert(t, share >= test.least && share <= test.most, "%.2f go on", share)
		})
	}
}

// killAll kills all daemons and starts them again after a time; it returns when they were killed.
func (p *storePlay) killAll(out time.Duration) time.Time {
	at := p.now
	p.kill(p.daemons...)
	p.now = p.now.Add(out)
	p.restart(p.daemons...)
	return at
}

// revokeSome revokes a third of the origins of some daemons' streams, at others that took them up.
func (p *storePlay) revokeSome(by ...*playDaemon) {
	for i := range p.begun {
		if s := p.begun[i].StreamOrigin; i%3 == 0 && slices.Contains(by, p.begun[i].by) {
			s.Unknown, p.revoked[s.Key] = true, true
			p.note(p.daemons[1+p.rng.IntN(len(p.daemons)-1)], &s)
		}
	}
}

// exchangeAddresses moves each daemon's address on to the next one.
func (p *storePlay) exchangeAddresses() {
	var all []Daemon
	byAddress := map[string]*playDaemon{}
	for i, d := range p.daemons {
		address := p.daemons[(i+1)%len(p.daemons)].name
		all, byAddress[address] = append(all, Daemon{d.name, address}), d
	}
	p.byName = byAddress
	for _, d := range p.daemons {
		d.homes = NewHomes(d.name, all)
	}
}
