package membership

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// tick is the interval between ticks of a group and the latency of its packets.
const tick = 100 * time.Millisecond

// group simulates daemons and the network between them. A packet sent in one tick
// is received in the next.
type group struct {
	now      time.Time
	rng      *rand.Rand
	daemons  []*daemon
	byAddr   map[string]*daemon
	inFlight []sentPacket
	drop     func(from, to *daemon) bool // whether a packet is lost; nil if none is
	packets  int
}

type daemon struct {
	*Membership
	address  string
	index    int
	up       bool
	paused   bool
	waiting  []*Packet // packets in the socket of a paused daemon
	actions  []Action  // all but Send, until a test clears it
	sent     int       // packets
	sentSize int       // bytes with IP and UDP headers, upper bound
}

type sentPacket struct {
	from *daemon
	to   string
	p    *Packet
}

// udpHeaders is the size of IPv4 and UDP headers in bytes.
const udpHeaders = 28

func newGroup(seed uint64) *group {
	return &group{
		now:    time.Unix(1_700_000_000, 0),
		rng:    rand.New(rand.NewPCG(seed, 1)),
		byAddr: map[string]*daemon{},
	}
}

// place returns the data centre and region of daemon i; daemons are distributed
// evenly over dcs data centres, and these over the regions.
func place(i, dcs, regions int) (fleet.DataCentre, fleet.Region) {
	dc := i % dcs
	return fleet.DataCentre(fmt.Sprintf("dc-%02d", dc)), fleet.Region(fmt.Sprintf("region-%d", dc%regions))
}

func memberAt(i, run int, dc fleet.DataCentre, region fleet.Region) Member {
	return Member{
		Instance:    fleet.InstanceID(fmt.Sprintf("i-%017x", i)),
		Daemon:      fleet.DaemonID(fmt.Sprintf("019a0000-0000-7000-8000-%06d%06d", i, run)),
		Caller:      fmt.Sprintf("10.%d.%d.%d:8080", i/200, i%200, 7),
		Peer:        fmt.Sprintf("10.%d.%d.%d:7946", i/200, i%200, 7),
		DataCentre:  dc,
		Region:      region,
		Incarnation: 1_700_000_000_000 + uint64(run),
	}
}

// start adds n daemons. The seeds of each are the first three, as far as they
// exist by then.
func (g *group) start(n, dcs, regions int) {
	for i := range n {
		dc, region := place(i, dcs, regions)
		g.add(Config{}, memberAt(i, 0, dc, region))
	}
}

func (g *group) add(cfg Config, self Member) *daemon {
	m := New(cfg, self, rand.New(rand.NewPCG(g.rng.Uint64(), 2)))
	d := &daemon{Membership: m, address: self.Peer, index: len(g.daemons), up: true}
	var seeds []Member
	for _, other := range g.daemons[:min(3, len(g.daemons))] {
		seeds = append(seeds, Member{Peer: other.address})
	}
	m.AddSeeds(g.now, seeds)
	g.daemons = append(g.daemons, d)
	g.byAddr[d.address] = d
	return d
}

// restart replaces daemon i by a new run on the same instance.
func (g *group) restart(i, run int) {
	old := g.daemons[i].self.record
	g.restartAs(i, memberAt(i, run, old.DataCentre, old.Region))
}

func (g *group) restartAs(i int, self Member) {
	m := New(Config{}, self, rand.New(rand.NewPCG(g.rng.Uint64(), 2)))
	n := len(g.daemons)
	m.AddSeeds(g.now, []Member{{Peer: g.daemons[(i+1)%n].address}, {Peer: g.daemons[(i+2)%n].address}})
	g.daemons[i] = &daemon{Membership: m, address: self.Peer, index: i, up: true}
	g.byAddr[self.Peer] = g.daemons[i]
}

// everyoneSeesRun reports whether all views show daemon i Alive with this run.
func (g *group) everyoneSeesRun(i int, run fleet.DaemonID) bool {
	return g.everyone(func(d *daemon) bool {
		m, _ := d.View().ByInstance(g.daemons[i].self.instance)
		return m.Daemon == run && m.State == Alive
	})
}

// step advances the group by one tick.
func (g *group) step() {
	g.now = g.now.Add(tick)
	flying := g.inFlight
	g.inFlight = nil
	for _, f := range flying {
		g.deliver(f)
	}
	for _, d := range g.daemons {
		if d.up && !d.paused {
			g.carryOut(d, d.Tick(g.now))
		}
	}
}

func (g *group) deliver(f sentPacket) {
	d := g.byAddr[f.to]
	if d == nil || !d.up || g.drop != nil && g.drop(f.from, d) {
		return
	}
	p := *f.p
	p.Source = f.from.address
	if d.paused {
		d.waiting = append(d.waiting, &p)
		return
	}
	g.carryOut(d, d.Receive(g.now, &p))
}

// resume resumes a paused daemon, which first reads the packets in its socket.
func (g *group) resume(d *daemon) {
	d.paused = false
	for _, p := range d.waiting {
		g.carryOut(d, d.Receive(g.now, p))
	}
	d.waiting = nil
}

func (g *group) carryOut(d *daemon, actions []Action) {
	for _, a := range actions {
		s, ok := a.(Send)
		if !ok {
			d.actions = append(d.actions, a)
			continue
		}
		size := s.Packet.Size()
		if size > defaultMaxPacketBytes {
			panic(fmt.Sprintf("packet of kind %d has %d bytes", s.Packet.Kind, size))
		}
		g.packets++
		d.sent++
		d.sentSize += size + udpHeaders
		g.inFlight = append(g.inFlight, sentPacket{from: d, to: s.To, p: s.Packet})
	}
}

func (g *group) run(d time.Duration) {
	for range d / tick {
		g.step()
	}
}

// until steps until ok returns true, at most for limit. It returns how long that
// took and the last result of ok.
func (g *group) until(limit time.Duration, ok func() bool) (time.Duration, bool) {
	for t := time.Duration(0); t < limit; t += tick {
		if ok() {
			return t, true
		}
		g.step()
	}
	return limit, ok()
}

// everyone reports whether ok returns true for all running daemons.
func (g *group) everyone(ok func(d *daemon) bool) bool {
	for _, d := range g.daemons {
		if d.up && !d.paused && !ok(d) {
			return false
		}
	}
	return true
}

// converged reports whether the views of all running daemons show as Alive the
// daemons that are up, and no others.
func (g *group) converged() bool {
	up := 0
	for _, d := range g.daemons {
		if d.up {
			up++
		}
	}
	return g.everyone(func(d *daemon) bool {
		if len(d.View().Alive()) != up {
			return false
		}
		for _, other := range g.daemons {
			if other.up && d.stateOf(other) != Alive {
				return false
			}
		}
		return true
	})
}

// stateOf returns the state of other's instance in d's view; Left if it has none.
func (d *daemon) stateOf(other *daemon) State {
	m, found := d.View().ByInstance(other.self.instance)
	if !found {
		return Left
	}
	return m.State
}

// count returns how many actions of type A the daemon returned.
func count[A Action](d *daemon) int {
	n := 0
	for _, a := range d.actions {
		if _, ok := a.(A); ok {
			n++
		}
	}
	return n
}
