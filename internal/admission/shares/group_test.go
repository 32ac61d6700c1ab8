package shares

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

const (
	step     = 100 * time.Millisecond
	interval = time.Second
	// detectionDelay is the time until the others detect a failure or a join.
	detectionDelay = 3 * time.Second
)

// daemon is one member of the group under test.
type daemon struct {
	id         fleet.DaemonID
	shares     *Shares
	phase      time.Duration
	demand     Demand
	sentDemand Demand // demand sent in its latest round
	alive      bool
}

// group simulates daemons that exchange demands, in steps of virtual time.
type group struct {
	rng     *rand.Rand
	cfg     Config
	now     time.Time
	start   time.Time
	daemons []*daemon
	loss    float64             // probability that a message is lost
	failing map[[2]*daemon]bool // calls from the first to the second fail
	changes []membershipChange
}

// membershipChange is a member list that takes effect after the detection delay,
// at the daemons that existed when it was made. Daemons that join in the meantime
// start with a newer list.
type membershipChange struct {
	at      time.Time // when it takes effect
	ids     []fleet.DaemonID
	daemons int // number of daemons when it was made
}

func newGroup(seed uint64, cfg Config, size int) *group {
	g := &group{rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, now: time.Unix(1_000, 0), failing: map[[2]*daemon]bool{}}
	g.start = g.now
	for range size {
		g.join()
	}
	g.changes = nil
	g.apply(membershipChange{ids: g.ids(), daemons: size})
	return g
}

func (g *group) join() *daemon {
	n := len(g.daemons)
	d := &daemon{id: fleet.DaemonID(fmt.Sprintf("d%d", n)), alive: true}
	d.phase = time.Duration(g.rng.Int64N(int64(interval/step))) * step
	g.daemons = append(g.daemons, d)
	d.shares = New(d.id, g.ids(), g.cfg)
	g.announce()
	return d
}

func (g *group) kill(d *daemon) {
	d.alive = false
	g.announce()
}

func (g *group) announce() {
	g.changes = append(g.changes, membershipChange{g.now.Add(detectionDelay), g.ids(), len(g.daemons)})
}

func (g *group) ids() []fleet.DaemonID {
	var ids []fleet.DaemonID
	for _, d := range g.daemons {
		if d.alive {
			ids = append(ids, d.id)
		}
	}
	return ids
}

func (g *group) apply(c membershipChange) {
	for _, d := range g.daemons[:c.daemons] {
		if d.alive {
			d.shares.SetMembers(c.ids)
		}
	}
}

// advance runs one step, with the exchanges of the daemons whose interval is over.
func (g *group) advance() {
	g.now = g.now.Add(step)
	for len(g.changes) > 0 && !g.now.Before(g.changes[0].at) {
		g.apply(g.changes[0])
		g.changes = g.changes[1:]
	}
	for _, d := range g.daemons {
		if d.alive && (g.now.Sub(g.start)+d.phase)%interval == 0 {
			g.exchange(d)
		}
	}
}

func (g *group) exchange(d *daemon) {
	d.shares.StartRound(d.demand)
	d.sentDemand = d.demand
	for _, o := range g.daemons {
		if o == d || !o.alive || g.failing[[2]*daemon{d, o}] || g.rng.Float64() < g.loss {
			continue
		}
		accepted := o.shares.Receive(d.id, d.sentDemand)
		if accepted && g.rng.Float64() >= g.loss {
			d.shares.ReceiveReply(o.id, d.sentDemand, o.sentDemand)
		}
	}
}

func (g *group) sum() float64 {
	sum := 0.0
	for _, d := range g.daemons {
		if d.alive {
			sum += d.shares.Share()
		}
	}
	return sum
}
