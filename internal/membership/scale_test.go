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

// Data centres and regions of the largest fleet that is supported.
const (
	scaleDataCentres = 11
	scaleRegions     = 3
)

// BenchmarkScale simulates whole fleets. It reports what the protocol costs each
// daemon while nothing changes, and how many rounds of one ProbeInterval it takes
// until a change is in all views.
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

// scaleReport sums up the metrics of several iterations.
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

// mustUntil returns the number of rounds until ok returns true. A round is one
// ProbeInterval, here a second.
func mustUntil(b *testing.B, g *group, what string, ok func() bool) float64 {
	b.Helper()
	took, done := g.until(5*time.Minute, ok)
	if !done {
		b.Fatalf("%s is not in all views after %v", what, took)
	}
	return took.Seconds()
}

// join starts all daemons at once, each with all of them as seeds.
func (r *scaleReport) join(b *testing.B, g *group, n int) {
	g.start(n, scaleDataCentres, scaleRegions)
	for _, d := range g.daemons {
		d.AddSeeds(g.now, g.list())
	}
	r.add("rounds-join", mustUntil(b, g, "the start of all daemons", g.converged))
	r.add("B/s-join-max", g.busiest(secondsSinceStart(g)))
	g.run(30 * time.Second)
}

// secondsSinceStart returns the simulated seconds since the start of the group.
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

// busiest returns the bytes per second of the daemon that sent the most.
func (g *group) busiest(seconds float64) float64 {
	most := 0
	for _, d := range g.daemons {
		most = max(most, d.sentSize)
	}
	return float64(most) / seconds
}

// idle measures a minute in which nothing changes. It reports what is sent, which
// equals what is received on average.
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

// stateBytes measures the heap of one daemon with n members whose strings are not
// shared.
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

// filled returns a Membership with n members.
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

// daemonLoss stops one daemon.
func (r *scaleReport) daemonLoss(b *testing.B, g *group) {
	victim := g.daemons[len(g.daemons)-1]
	victim.up = false
	dead := func() bool {
		return g.everyone(func(d *daemon) bool { return d.stateOf(victim) == Dead })
	}
	r.add("rounds-death", mustUntil(b, g, "a daemon's death", dead))
	g.run(30 * time.Second)
}

// dataCentreLoss stops a whole data centre. With nine daemons no data centre has
// two, so the loss is only known once its member is Dead.
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

// packetLoss simulates a minute in which 2% of the packets are lost and one daemon
// is paused for three of every six seconds. It counts the other daemons that are
// suspected or declared Dead although they are up.
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

// countSeenAs counts the pairs of daemons that are up in which the view of the
// first has the second in state s. The slow daemon is not counted as the second.
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

// BenchmarkLocalHealth measures how long healthy daemons are suspected or declared
// Dead because of one daemon that loses half or more of its packets, with and
// without the local health score. The unit is pairs of daemons times seconds.
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

// BenchmarkReceive measures receiving and answering one probe, in a fleet of 340
// without changes.
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

// BenchmarkTick measures one tick in a fleet of 340 without changes.
func BenchmarkTick(b *testing.B) {
	m := filled(340)
	now := time.Unix(0, 0)
	for b.Loop() {
		m.joined = true
		m.isolation.active = false
		m.Tick(now)
	}
}
