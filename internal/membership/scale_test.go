package membership

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// The target's shape.
const (
	scaleDataCentres = 11
	scaleRegions     = 3
)

// BenchmarkScale drives whole fleets and reports, for each daemon, what the
// protocol costs in quiet, and how many rounds of a ProbeInterval it takes
// until a change is known by all.
func BenchmarkScale(b *testing.B) {
	for _, n := range []int{9, 34, 85, 170, 340} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) { benchScale(b, n) })
	}
}

func benchScale(b *testing.B, n int) {
	var r scaleReport
	for i := range b.N {
		r.measure(b, n, uint64(i+1))
	}
	r.print(b)
}

// scaleReport sums up figures over runs.
type scaleReport struct {
	values map[string]float64
	names  []string
}

func (r *scaleReport) add(name string, value float64) {
	if r.values == nil {
		r.values = map[string]float64{}
	}
	if _, ok := r.values[name]; !ok {
		r.names = append(r.names, name)
	}
	r.values[name] += value
}

func (r *scaleReport) print(b *testing.B) {
	for _, name := range r.names {
		b.ReportMetric(r.values[name]/float64(b.N), name)
	}
	b.ReportMetric(0, "ns/op")
}

func (r *scaleReport) measure(b *testing.B, n int, seed uint64) {
	g := newGroup(seed)
	r.join(b, g, n)
	r.idle(g)
	r.daemonLoss(b, g)
	r.dataCentreLoss(b, g)
	r.packetLoss(g)
}

// mustUntil returns the rounds until ok holds.
func mustUntil(b *testing.B, g *group, what string, ok func() bool) float64 {
	b.Helper()
	took, done := g.until(5*time.Minute, ok)
	if !done {
		b.Fatalf("%s is not known everywhere after %v", what, took)
	}
	return took.Seconds()
}

// join starts all daemons at once, each with the whole list as hints.
func (r *scaleReport) join(b *testing.B, g *group, n int) {
	g.start(n, scaleDataCentres, scaleRegions)
	for _, d := range g.daemons {
		d.AddSeeds(g.now, g.list())
	}
	r.add("rounds-join", mustUntil(b, g, "the start of all", g.converged))
	r.add("B/s-join-max", g.busiest(secondsSinceStart(g)))
	g.run(30 * time.Second)
}

// secondsSinceStart returns the seconds since the group began.
func secondsSinceStart(g *group) float64 { return g.now.Sub(time.Unix(1_700_000_000, 0)).Seconds() }

func (g *group) list() []Member {
	var list []Member
	for _, d := range g.daemons {
		list = append(list, Member{Instance: d.self.instance, Peer: d.address})
	}
	return list
}

func (g *group) clearCounts() {
	for _, d := range g.daemons {
		d.sent, d.sentSize, d.actions = 0, 0, nil
	}
}

// busiest returns the bytes a second sent by the daemon that sent most.
func (g *group) busiest(seconds float64) float64 {
	most := 0
	for _, d := range g.daemons {
		most = max(most, d.sentSize)
	}
	return float64(most) / seconds
}

// idle measures a minute in which nothing happens. Sent and received are
// equal on average; what is reported is sent.
func (r *scaleReport) idle(g *group) {
	const seconds = 60
	g.clearCounts()
	packets := g.packets
	start := time.Now()
	g.run(seconds * time.Second)
	cpu := time.Since(start)
	n := float64(len(g.daemons))
	total := 0
	for _, d := range g.daemons {
		total += d.sentSize
	}
	r.add("msgs/s", float64(g.packets-packets)/seconds/n)
	r.add("B/s", float64(total)/seconds/n)
	r.add("B/s-max", g.busiest(seconds))
	r.add("cpu-ns/s", float64(cpu.Nanoseconds())/seconds/n)
	r.add("B-state", stateBytes(len(g.daemons)))
}

// stateBytes measures the heap of one daemon that knows n members, none of
// whose strings are shared with others'.
func stateBytes(n int) float64 {
	const copies = 8
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := make([]*Membership, copies)
	for i := range kept {
		kept[i] = filled(n)
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(kept)
	return float64(after.HeapAlloc-before.HeapAlloc) / copies
}

func filled(n int) *Membership {
	now := time.Unix(0, 0)
	dc, region := place(0, scaleDataCentres, scaleRegions)
	m := New(Config{}, memberAt(0, 0, dc, region), rand.New(rand.NewPCG(1, 1)))
	for i := 1; i < n; i++ {
		dc, region := place(i, scaleDataCentres, scaleRegions)
		self := memberAt(i, 0, fleet.DataCentre(strings.Clone(string(dc))), fleet.Region(strings.Clone(string(region))))
		u := Update{Instance: self.Instance, Incarnation: self.Incarnation, Record: recordOf(self)}
		u.Run = u.Record.run()
		m.merge(&u, false)
	}
	m.Tick(now)
	return m
}

// daemonLoss kills one daemon.
func (r *scaleReport) daemonLoss(b *testing.B, g *group) {
	victim := g.daemons[len(g.daemons)-1]
	victim.up = false
	dead := func() bool {
		return g.everyone(func(d *daemon) bool { return d.stateOf(victim) == Dead })
	}
	r.add("rounds-death", mustUntil(b, g, "one death", dead))
	g.run(30 * time.Second)
}

// dataCentreLoss kills a whole data centre. Nine daemons have none with two, so
// there it is known when the members are dead.
func (r *scaleReport) dataCentreLoss(b *testing.B, g *group) {
	g.clearCounts()
	lost := g.daemons[0].self.record.DataCentre
	for _, d := range g.daemons {
		if d.self.record.DataCentre == lost {
			d.up = false
		}
	}
	known := func() bool {
		return g.everyone(func(d *daemon) bool {
			return !hasAlive(d.View(), lost)
		})
	}
	took := mustUntil(b, g, "a data centre's loss", known)
	r.add("rounds-dc", took)
	r.add("B/s-dc-max", g.busiest(took))
	g.run(time.Minute)
}

func hasAlive(v *View, dc fleet.DataCentre) bool {
	for _, d := range v.DataCentres() {
		if d.DataCentre == dc {
			return d.Alive > 0
		}
	}
	return false
}

// packetLoss runs a minute in which two packets in a hundred are lost and one daemon
// is paused for three seconds in every six, and counts those held for dead.
func (r *scaleReport) packetLoss(g *group) {
	g.drop = func(_, _ *daemon) bool { return g.rng.IntN(100) < 2 }
	slow := g.daemons[1]
	dead, suspect := 0.0, 0.0
	for second := range 60 {
		if second%6 == 0 {
			slow.paused = true
		}
		if second%6 == 3 {
			g.resume(slow)
		}
		g.run(time.Second)
		dead += g.countSeenAs(Dead, slow)
		suspect += g.countSeenAs(Suspect, slow)
	}
	pairs := float64(len(g.daemons)*len(g.daemons)) * 60
	r.add("false-dead-ppm", dead/pairs*1e6)
	r.add("false-suspect-ppm", suspect/pairs*1e6)
}

// countSeenAs counts the pairs in which a daemon that is up holds another one that is
// up, and not the slow one, for s.
func (g *group) countSeenAs(s State, slow *daemon) float64 {
	count := 0
	for _, d := range g.daemons {
		if !d.up || d.paused {
			continue
		}
		for _, other := range g.daemons {
			if other.up && other != slow && d.stateOf(other) == s {
				count++
			}
		}
	}
	return float64(count)
}

// BenchmarkLocalHealth counts how often daemons that are well are suspected or
// held for dead because of one whose packets are lost half or more of the time,
// with and without local health, in pairs of daemons times seconds.
func BenchmarkLocalHealth(b *testing.B) {
	for _, limit := range []int{defaultLocalHealthMax, -1} {
		for _, percent := range []int{50, 70, 85} {
			b.Run(fmt.Sprintf("max=%d/loss=%d", limit, percent), func(b *testing.B) {
				benchHealth(b, limit, percent)
			})
		}
	}
}

func benchHealth(b *testing.B, limit, percent int) {
	var suspect, dead float64
	for i := range b.N {
		g := newGroup(uint64(i + 1))
		for i := range 36 {
			dc, region := place(i, 4, 1)
			g.add(Config{LocalHealthMax: limit}, memberAt(i, 0, dc, region))
		}
		g.run(20 * time.Second)
		bad := g.daemons[3]
		g.drop = func(from, to *daemon) bool {
			return (from == bad || to == bad) && g.rng.IntN(100) < percent
		}
		for range 120 {
			g.run(time.Second)
			suspect += g.countSeenAs(Suspect, bad)
			dead += g.countSeenAs(Dead, bad)
		}
	}
	b.ReportMetric(suspect/float64(b.N), "pair-s-suspect")
	b.ReportMetric(dead/float64(b.N), "pair-s-dead")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkReceive measures one probe taken in and answered, in a fleet of 340
// in quiet.
func BenchmarkReceive(b *testing.B) {
	m := filled(340)
	from := m.nodes["i-00000000000000003"]
	p := m.newPacket(Ping)
	p.From = Sender{Instance: from.instance, Run: from.run, Incarnation: from.incarnation}
	p.Subject = m.self.instance
	p.Source = from.record.Peer
	now := time.Unix(0, 0)
	b.ReportAllocs()
	for b.Loop() {
		m.Receive(now, p)
	}
}

// BenchmarkTick measures a tick in a fleet of 340 in quiet.
func BenchmarkTick(b *testing.B) {
	m := filled(340)
	now := time.Unix(0, 0)
	for b.Loop() {
		m.joined = true
		m.isolation.active = false
		m.Tick(now)
	}
}
