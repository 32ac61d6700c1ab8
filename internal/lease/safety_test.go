package lease

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"pgregory.net/rapid"
)

// call is a daemon's call to the store that is in flight.
type call struct {
	daemon  int
	action  Action
	arrived bool // the store has carried it out; its answer is in flight
	result  Observation
	written bool
}

// model is three daemons that each rank themselves first for one shard, and a
// store. Calls may arrive at any later time, and answers may be lost.
type model struct {
	store   *memStore
	daemons []*member
	paused  []bool
	drift   []float64 // of each clock's rate, as a share of it
	time    time.Duration
	calls   []call
	orders  []order
	highest uint64 // fencing number of the newest order
	backup  backup
}

// order is an order that was sent. end is in the model's time.
type order struct {
	daemon int
	end    time.Duration
}

// maxDrift is the greatest drift of a clock's rate that Config.Margin covers.
const maxDrift = 500e-6

func newModel(t *rapid.T) *model {
	m := &model{store: newMemStore(1), paused: make([]bool, 3)}
	config := DefaultConfig
	config.StartSpread = 0
	for i := range 3 {
		id := fleet.DaemonID(fmt.Sprintf("daemon-%d", i))
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		m.drift = append(m.drift, rapid.Float64Range(-maxDrift, maxDrift).Draw(t, "drift"))
		set := NewSet(config, id, Shards("duty", 1), random, m.localTime(i))
		m.daemons = append(m.daemons, &member{id: id, set: set})
	}
	return m
}

// localTime returns a daemon's clock. The clocks differ by years, and in rate.
func (m *model) localTime(i int) time.Time {
	epoch := time.Date(2000+i*7, 1, 1, 0, 0, 0, 0, time.UTC)
	return epoch.Add(m.time + time.Duration(m.drift[i]*float64(m.time)))
}

// advance moves the time on and ticks the daemons that aren't paused.
func (m *model) advance(by time.Duration) {
	m.time += by
	for i, d := range m.daemons {
		if m.paused[i] {
			continue
		}
		for _, a := range d.set.Tick(m.localTime(i)) {
			m.calls = append(m.calls, call{daemon: i, action: a})
		}
	}
}

// deliver takes a call one step further: it arrives at the store, then its answer
// arrives or is lost.
func (m *model) deliver(i int, lose bool) {
	c := m.calls[i]
	if !c.arrived {
		m.calls[i] = m.arrive(c)
		return
	}
	if m.paused[c.daemon] {
		return // its answer waits until the pause ends
	}
	m.calls = append(m.calls[:i:i], m.calls[i+1:]...)
	m.answer(c, lose)
}

func (m *model) arrive(c call) call {
	c.arrived = true
	if c.action.Kind == Write {
		c.result, c.written = m.store.write(c.action)
	} else {
		c.result = m.store.objects[0]
	}
	return c
}

func (m *model) answer(c call, lose bool) {
	set, now := m.daemons[c.daemon].set, m.localTime(c.daemon)
	switch {
	case c.action.Kind == List && lose:
		set.ListFailed()
	case c.action.Kind == List:
		set.Listed(now, []Observation{c.result})
	case c.action.Kind == Read && lose:
		set.ReadFailed(now, 0)
	case c.action.Kind == Read:
		set.Observed(now, 0, c.result)
	case lose:
		set.WriteAmbiguous(now, c.action)
	case c.written:
		set.Wrote(now, c.action, c.result.Version)
	default:
		set.WriteConflict(now, c.action, c.result)
	}
}

// sendOrder sends a daemon's order if the lease allows it, and checks that fencing
// numbers never decrease.
func (m *model) sendOrder(t *rapid.T, i int) {
	l, now := m.daemons[i].set.Lease(0), m.localTime(i)
	if l.MayOrderUnfenced(now) {
		m.checkUnfenced(t, i)
	}
	fencing, ok := l.MayOrder(now)
	if !ok {
		return
	}
	if fencing < m.highest {
		t.Fatalf("order with fencing number %d after one with %d", fencing, m.highest)
	}
	m.highest = fencing
	m.orders = append(m.orders, order{daemon: i, end: m.time + l.config.OrderTimeout})
}

// checkUnfenced fails when another daemon's order is still in flight.
func (m *model) checkUnfenced(t *rapid.T, i int) {
	for _, o := range m.orders {
		if o.daemon != i && o.end > m.time {
			t.Fatalf("daemon %d may order without fencing while an order of daemon %d is under way", i, o.daemon)
		}
	}
}

// checkHolders fails when two daemons, paused ones included, would be allowed to
// send orders, and returns the number of holders.
func (m *model) checkHolders(t *rapid.T) (holders int) {
	for i, d := range m.daemons {
		if d.set.Lease(0).Held(m.localTime(i)) {
			holders++
		}
	}
	if holders > 1 {
		t.Fatalf("%d daemons hold the lease at %s", holders, m.time)
	}
	return holders
}

// Guards against two daemons that send orders for one shard, while daemons pause
// for longer than their lease, calls arrive late, answers are lost and clocks
// differ. Paused daemons count too: one would send its order at its first step
// after the pause.
func TestNeverTwoHolders(t *testing.T) {
	held := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		for range rapid.IntRange(1000, 2000).Draw(t, "steps") {
			m.randomStep(t)
			held += m.checkHolders(t)
		}
	})
	if held == 0 {
		t.Fatal("no daemon ever held the lease, so nothing was checked")
	}
}

// stepKinds are the kinds of random step; the more likely ones are repeated.
var stepKinds = []string{
	"advance", "advance", "advance", "advance", "settle", "settle", "settle", "settle",
	"move", "move", "pause", "hand over",
}

// advanceMillis are steps of time, among them some just around the times of
// DefaultConfig.
var advanceMillis = []int{100, 250, 250, 250, 1000, 1000, 2500, 6000, 12000, 18500, 19500, 20500, 22000}

// randomStep takes one step, after which any daemon that isn't paused may send an
// order.
func (m *model) randomStep(t *rapid.T) {
	daemon := rapid.IntRange(0, 2)
	switch rapid.SampledFrom(stepKinds).Draw(t, "step") {
	case "advance":
		m.advance(time.Duration(rapid.SampledFrom(advanceMillis).Draw(t, "ms")) * time.Millisecond)
	case "pause":
		i := daemon.Draw(t, "pause")
		m.paused[i] = !m.paused[i]
	case "hand over":
		m.daemons[daemon.Draw(t, "hand over")].handover()
	case "move":
		if len(m.calls) > 0 {
			i := rapid.IntRange(0, len(m.calls)-1).Draw(t, "call")
			m.deliver(i, rapid.Bool().Draw(t, "lose"))
		}
	case "settle":
		m.settle()
	}
	for i := range m.daemons {
		if !m.paused[i] && rapid.Bool().Draw(t, "order") {
			m.sendOrder(t, i)
		}
	}
}

// settle completes every call in flight.
func (m *model) settle() {
	for range 2 {
		for i := len(m.calls) - 1; i >= 0; i-- {
			m.deliver(i, false)
		}
	}
}

// handover makes a holder release its lease as if it weren't the preferred one.
func (d *member) handover() {
	if l := d.set.Lease(0); l.held {
		l.releasing = true
	}
}
