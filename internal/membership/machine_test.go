package membership

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// machine is a rapid state machine that exposes a group to random faults. After a
// period without faults all running daemons must see each other Alive, and an
// incarnation that a daemon has seen gone must not become alive again for it.
type machine struct {
	g                *group
	runs             int
	lossPercent      int // percent of packets that are lost
	duplicatePercent int // percent of packets that arrive twice, the second time late
	delayed          []sentPacket
	left             map[fleet.DaemonID]bool // runs that departed; their instances are not used again
	dead             map[deadKey]bool        // seen gone by the viewer, which must not see that incarnation alive again
}

type deadKey struct {
	viewer, seen fleet.DaemonID
	incarnation  uint64
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		g:    newGroup(rapid.Uint64().Draw(t, "seed")),
		left: map[fleet.DaemonID]bool{},
		dead: map[deadKey]bool{},
	}
	m.g.start(rapid.IntRange(4, 10).Draw(t, "daemons"), 4, rapid.IntRange(1, 2).Draw(t, "regions"))
	m.g.drop = func(_, _ *daemon) bool { return m.g.rng.IntN(100) < m.lossPercent }
	return m
}

func (m *machine) pick(t *rapid.T) *daemon {
	return m.g.daemons[rapid.IntRange(0, len(m.g.daemons)-1).Draw(t, "daemon")]
}

// run advances the group, duplicates and delays packets, and checks each View.
func (m *machine) run(t *rapid.T, d time.Duration) {
	for range d / tick {
		m.deliverDuplicates()
		m.g.step()
		for _, d := range m.g.daemons {
			if d.up && !d.paused {
				m.check(t, d)
			}
		}
	}
}

func (m *machine) deliverDuplicates() {
	for _, f := range m.g.inFlight {
		if m.g.rng.IntN(100) < m.duplicatePercent {
			m.delayed = append(m.delayed, f)
		}
	}
	if len(m.delayed) > 20 {
		m.g.inFlight = append(m.g.inFlight, m.delayed[:10]...)
		m.delayed = m.delayed[10:]
	}
}

func (m *machine) check(t *rapid.T, d *daemon) {
	viewer := d.self.record.Daemon
	for _, seen := range d.View().All() {
		key := deadKey{viewer: viewer, seen: seen.Daemon, incarnation: seen.Incarnation}
		if n := d.nodes[seen.Instance]; n != nil && n.state.Terminal() && !n.provisional {
			m.dead[key] = true
		} else if m.dead[key] {
			t.Fatalf("%s sees incarnation %d of %s again", viewer, seen.Incarnation, seen.Daemon)
		}
		if m.left[seen.Daemon] && seen.State != Left && m.leftIsKnown(d, seen) {
			t.Fatalf("%s sees %s, which left, as %v", viewer, seen.Daemon, seen.State)
		}
	}
}

// leftIsKnown reports whether the daemon has seen the member in state Left.
func (m *machine) leftIsKnown(d *daemon, seen Member) bool {
	key := deadKey{viewer: d.self.record.Daemon, seen: seen.Daemon}
	if seen.State == Left {
		m.dead[key] = true
	}
	return m.dead[key]
}

func TestViewsConvergeAfterRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		m.run(t, 5*time.Second)
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) {
				m.run(t, time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second)
			},
			"lose":    func(t *rapid.T) { m.lossPercent = rapid.IntRange(0, 60).Draw(t, "percent") },
			"double":  func(t *rapid.T) { m.duplicatePercent = rapid.IntRange(0, 30).Draw(t, "percent") },
			"pause":   func(t *rapid.T) { m.pick(t).paused = true },
			"resume":  func(t *rapid.T) { m.g.resume(m.pick(t)) },
			"crash":   m.crash,
			"restart": m.restart,
			"depart":  m.depart,
			"start":   m.start,
		})
		m.endFaults()
		m.run(t, 2*time.Minute)
		assert.Assert(t, m.g.converged())
	})
}

// endFaults ends all faults and makes sure that each region has a running daemon:
// a region without one counts as unreachable, and its members stay alive in the
// other regions' views for hours.
func (m *machine) endFaults() {
	m.lossPercent, m.duplicatePercent = 0, 0
	for _, d := range m.g.daemons {
		if d.paused {
			m.g.resume(d)
		}
	}
	for i, d := range m.g.daemons {
		if !m.hasRegion(d.self.record.Region) {
			m.runs++
			m.g.restart(i, m.runs)
		}
	}
	list := m.g.list()
	for _, d := range m.g.daemons {
		d.AddSeeds(m.g.now, list)
	}
}

func (m *machine) hasRegion(r fleet.Region) bool {
	for _, d := range m.g.daemons {
		if d.up && d.self.record.Region == r {
			return true
		}
	}
	return false
}

// crash stops a daemon without an announcement, unless only three are up.
func (m *machine) crash(t *rapid.T) {
	d := m.pick(t)
	if m.countUp() > 3 {
		d.up = false
	}
}

func (m *machine) countUp() int {
	up := 0
	for _, d := range m.g.daemons {
		if d.up {
			up++
		}
	}
	return up
}

// restart replaces a run by a new one, sometimes with the clock set back.
func (m *machine) restart(t *rapid.T) {
	d := m.pick(t)
	if m.left[d.self.record.Daemon] {
		return
	}
	m.runs++
	r := d.self.record
	self := memberAt(d.index, m.runs, r.DataCentre, r.Region)
	if rapid.Bool().Draw(t, "clock set back") {
		self.Incarnation = 1
	}
	m.g.restartAs(d.index, self)
}

func (m *machine) depart(t *rapid.T) {
	d := m.pick(t)
	if !d.up || d.paused || m.countUp() <= 3 {
		return
	}
	m.g.carryOut(d, d.Leave(m.g.now))
	m.run(t, time.Second)
	m.g.carryOut(d, d.Depart(m.g.now))
	m.left[d.self.record.Daemon] = true
	m.g.step()
	d.up = false
}

func (m *machine) start(t *rapid.T) {
	if len(m.g.daemons) < 16 {
		dc, region := place(len(m.g.daemons), 4, 1)
		m.g.add(Config{}, memberAt(len(m.g.daemons), 0, dc, region))
	}
}
