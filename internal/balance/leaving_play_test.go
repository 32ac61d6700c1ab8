package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
)

// drainBound is how long after a daemon has passed on an answer that says that its engine leaves
// the engine may get requests of that daemon, and contactBound is how long it may take until all
// daemons in touch know.
const (
	drainBound   = 2 * time.Second
	contactBound = 3 * time.Second
)

// leavePlay is a fleet whose first engine says in its answers that it leaves.
type leavePlay struct {
	*limitPlay
	leaves   bool
	since    time.Time
	passedOn map[*playDaemon]time.Time // when a daemon passed on such an answer first
	lists    map[*playDaemon][]roster.Endpoint
	late     int // requests later than drainBound
	untold   int // requests later than contactBound of daemons that have passed on no such answer
}

func newLeavePlay(daemons int) *leavePlay {
	p := &leavePlay{
		limitPlay: newLimitPlay(uint64(daemons), daemons, perDaemonRates[daemons]),
		passedOn:  map[*playDaemon]time.Time{}, lists: map[*playDaemon][]roster.Endpoint{},
	}
	for _, d := range p.daemons {
		p.lists[d] = testEndpoints(4)
	}
	p.onArrival = p.arrivedAtLeaving
	p.onAnswer = func(d *playDaemon, c Choice) {
		if !p.leaves {
			return
		}
		if p.passedOn[d].IsZero() {
			p.passedOn[d] = p.now
		}
		d.balancer.ObserveLeaving(p.now, &c.Endpoint)
		p.apply(d)
	}
	p.onReport = p.apply
	return p
}

func (p *leavePlay) arrivedAtLeaving(d *playDaemon) {
	if !p.leaves {
		return
	}
	if at := p.passedOn[d]; !at.IsZero() && p.now.Sub(at) > drainBound {
		p.late++
	}
	if p.passedOn[d].IsZero() && p.now.Sub(p.since) > contactBound {
		p.untold++
	}
}

// apply lists the leaving engines of a daemon as draining.
func (p *leavePlay) apply(d *playDaemon) {
	leaving := d.balancer.Leaving()
	if len(leaving) == 0 {
		return
	}
	for i := range p.lists[d] {
		for j := range leaving {
			if p.lists[d][i].ID == leaving[j].ID {
				p.lists[d][i].Draining = true
			}
		}
	}
	d.balancer.SetEndpoints(p.now, p.lists[d])
}

// Guards against requests to an engine of whose leave the daemon knows, or has had time to learn.
func TestLeavingEngineGetsNoRequestsAtAnySize(t *testing.T) {
	for _, daemons := range []int{9, 78, 340, 986} {
		p := newLeavePlay(daemons)
		p.run(2 * time.Second)
		p.leaves, p.since = true, p.now
		p.run(12 * time.Second)
		knowing := 0
		for _, d := range p.daemons {
			if p.lists[d][0].Draining {
				knowing++
			}
		}
		t.Logf("%d daemons: %d passed an answer on; %d late requests, %d of others", daemons, len(p.passedOn), p.late, p.untold)
		assert.Assert(t, len(p.passedOn) > 0)
		assert.Equal(t, knowing, daemons)
		assert.Equal(t, p.late, 0)
		assert.Equal(t, p.untold, 0)
	}
}

// Guards against the statement of an engine's earlier run that is applied to the next one.
func TestRestartedEngineGetsRequestsAgainAtAnySize(t *testing.T) {
	for _, daemons := range []int{9, 78, 340, 986} {
		p := newLeavePlay(daemons)
		p.leaves, p.since = true, p.now
		p.run(5 * time.Second)
		p.leaves = false
		for _, d := range p.daemons {
			p.lists[d] = testEndpoints(4)
			p.lists[d][0].StartedAt = p.now
			d.balancer.SetEndpoints(p.now, p.lists[d])
		}
		got := 0
		p.onArrival = func(*playDaemon) { got++ }
		p.run(10 * time.Second)
		for _, d := range p.daemons {
			assert.Assert(t, !p.lists[d][0].Draining, "%d daemons: %s", daemons, d.id)
		}
		assert.Assert(t, got > 0, "%d daemons", daemons)
	}
}
