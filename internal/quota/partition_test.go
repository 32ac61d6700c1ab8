package quota_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

const (
	step     = 50 * time.Millisecond
	rate     = 60000.0 // tokens a second, and the burst
	cost     = 10.0
	workshop = fleet.WorkspaceID("workshop")
)

var began = time.Unix(1000, 0)

// fleetUnderCut is a fleet whose last daemons are cut off from the others for a
// while. Both parts elect a hub of their own once they notice.
type fleetUnderCut struct {
	daemons, away int           // away of the daemons are cut off
	from, to      time.Duration // of the cut
	hot           time.Duration // when demand jumps
	before, after float64       // demand, as a part of the limit
	interval      time.Duration // between a daemon's reports
	notice        time.Duration // until a part knows who is left
	dead          bool          // who is away is dead, its demand comes to the others

	limits []*quota.Quota
	hubs   map[string]*exchange.Hub
	owed   []float64 // by daemon, demand that isn't a whole request yet
}

func (f *fleetUnderCut) start() {
	f.hubs = map[string]*exchange.Hub{"main": exchange.NewHub(f.interval), "away": exchange.NewHub(f.interval)}
	f.owed = make([]float64, f.daemons)
	for range f.daemons {
		q := quota.New(true, quota.Tolerance{})
		q.Configure(began, &route.Table{Workspaces: []route.Workspace{{Name: workshop, Rate: rate, Burst: rate}}})
		q.SetDaemons(began, f.daemons)
		f.limits = append(f.limits, q)
	}
}

// isAway reports whether a daemon belongs to the part that is cut off.
func (f *fleetUnderCut) isAway(i int) bool { return i >= f.daemons-f.away }

// hub returns whom a daemon tells, and whether it can reach it.
func (f *fleetUnderCut) hub(i int, t time.Duration) (name string, reached bool) {
	if !f.isAway(i) {
		return "main", true
	}
	noticed := t >= f.from+f.notice && t < f.to+f.notice
	cut := t >= f.from && t < f.to
	if noticed {
		return "away", true
	}
	return "main", !cut
}

// count tells the daemons once a second how many they see.
func (f *fleetUnderCut) count(t time.Duration) {
	if t%time.Second != 0 {
		return
	}
	apart := t >= f.from+f.notice && t < f.to+f.notice
	for i, q := range f.limits {
		n := f.daemons
		switch {
		case apart && f.isAway(i):
			n = f.away
		case apart:
			n = f.daemons - f.away
		}
		q.SetDaemons(began.Add(t), n)
	}
}

// play returns what was let in at each step.
func (f *fleetUnderCut) play(length time.Duration) []float64 {
	f.start()
	w := route.Workspace{Name: workshop, Rate: rate, Burst: rate}
	var let []float64
	for t := time.Duration(0); t < length; t += step {
		f.count(t)
		now := began.Add(t)
		demand := f.before
		if t >= f.hot {
			demand = f.after
		}
		sum := 0.0
		live := f.daemons
		if f.dead && t >= f.from {
			live -= f.away
		}
		for i, q := range f.limits[:live] {
			f.owed[i] += demand * rate * step.Seconds() / float64(live)
			for ; f.owed[i] >= cost; f.owed[i] -= cost {
				if _, ok := q.Take(now, &w, cost); ok {
					sum += cost
				}
			}
			if (t+time.Duration(i)*step)%f.interval == 0 {
				f.tell(i, t)
			}
		}
		let = append(let, sum)
	}
	return let
}

// tell reports one daemon's part and uses the answer.
func (f *fleetUnderCut) tell(i int, t time.Duration) {
	name, reached := f.hub(i, t)
	if !reached {
		return
	}
	now, q := began.Add(t), f.limits[i]
	spent := map[fleet.WorkspaceID]float64{workshop: q.Spent()[workshop]}
	id := fleet.DaemonID(fmt.Sprint(i))
	f.hubs[name].Take(now, t, exchange.Part{Daemon: id, Soft: relay.Soft{Spent: spent}, Wall: now})
	q.KeepHubs([]string{name})
	q.UpdateOthers(now, name, f.hubs[name].Spent(now, id), false)
}

// most returns the largest sum over a window, as a part of what a limit allows
// in it.
func most(let []float64, window time.Duration) float64 {
	n, sum, best := int(window/step), 0.0, 0.0
	for i, v := range let {
		sum += v
		if i >= n {
			sum -= let[i-n]
		}
		best = max(best, sum)
	}
	return best / (rate*window.Seconds() + rate)
}

// within returns what was let in between two times, as a part of the rate.
func within(let []float64, from, to time.Duration) float64 {
	sum := 0.0
	for _, v := range let[from/step : to/step] {
		sum += v
	}
	return sum / (rate * (to - from).Seconds())
}

// A workspace asks for three times its limit when some of the daemons are cut
// off from the others for twelve seconds. Neither part hears what the other one
// lets in. Did each part let in the whole limit, callers would get nearly twice
// of it.
func TestPartsOfAFleetKeepOneLimit(t *testing.T) {
	for _, away := range []int{6, 22, 40} {
		f := &fleetUnderCut{
			daemons: 60, away: away, from: 8 * time.Second, to: 20 * time.Second, hot: 500 * time.Millisecond,
			before: 0.5, after: 3, interval: 400 * time.Millisecond, notice: 2 * time.Second,
		}
		let := f.play(40 * time.Second)
		assert.Assert(t, most(let, 8*time.Second) <= 1.1, "%d away: let in %.2f of what is allowed", away, most(let, 8*time.Second))
		during, after := within(let, 10*time.Second, 20*time.Second), within(let, 23*time.Second, 31*time.Second)
		assert.Assert(t, during >= 0.85, "%d away: %.2f of the limit during the cut", away, during)
		assert.Assert(t, after >= 0.85, "%d away: %.2f of the limit after the cut", away, after)
	}
}

// The same, and the demand jumped half a second before the cut: when it comes,
// no daemon has heard yet how much the others let in. Callers may get somewhat
// more than the limit then, for as long as the parts don't know of the cut.
func TestCutJustAfterAJumpOfDemand(t *testing.T) {
	for _, away := range []int{6, 22} {
		f := &fleetUnderCut{
			daemons: 60, away: away, from: time.Second, to: 13 * time.Second, hot: 500 * time.Millisecond,
			before: 0.5, after: 3, interval: 400 * time.Millisecond, notice: 2 * time.Second,
		}
		let := f.play(40 * time.Second)
		assert.Assert(t, most(let, 8*time.Second) <= 1.2, "%d away: let in %.2f of what is allowed", away, most(let, 8*time.Second))
		during := within(let, 3*time.Second, 13*time.Second)
		assert.Assert(t, during >= 0.85, "%d away: %.2f of the limit during the cut", away, during)
	}
}

// A workspace asks for three times its limit at sixty daemons that hear of each
// other late. Callers must find it served evenly: a second in which nearly all
// is refused after one in which nearly all is let in spoils both.
func TestLimitIsLetInEvenly(t *testing.T) {
	f := &fleetUnderCut{daemons: 60, hot: 0, after: 3, interval: 400 * time.Millisecond, from: time.Hour, to: time.Hour}
	let := f.play(30 * time.Second)
	for s := 4 * time.Second; s < 30*time.Second; s += time.Second {
		got := within(let, s, s+time.Second)
		assert.Assert(t, got >= 0.8 && got <= 1.2, "%.2f of the limit at %v", got, s)
	}
}

// A quiet workspace has its whole burst left when a third of the daemons is cut
// off; a second later its demand jumps. Could each daemon spend the burst before
// it hears of the others, all of the demand at the part that is cut off would be
// let in.
func TestBurstIsSharedByWhoHearsNothing(t *testing.T) {
	f := &fleetUnderCut{
		daemons: 60, away: 22, from: 4 * time.Second, to: 16 * time.Second, hot: 5 * time.Second,
		before: 0.2, after: 6, interval: 400 * time.Millisecond, notice: 2 * time.Second,
	}
	let := f.play(40 * time.Second)
	assert.Assert(t, most(let, 8*time.Second) <= 1.15, "let in %.2f of what is allowed", most(let, 8*time.Second))
	after := within(let, 20*time.Second, 28*time.Second)
	assert.Assert(t, after >= 0.85, "%.2f of the limit after the cut", after)
}

// Daemons die for good while a workspace asks for more than its limit. The rest
// must soon let in the whole limit again.
func TestLimitOfAFleetThatShrank(t *testing.T) {
	f := &fleetUnderCut{
		daemons: 9, away: 1, from: 5 * time.Second, to: time.Hour, dead: true,
		before: 3, after: 3, interval: 250 * time.Millisecond, notice: 2 * time.Second,
	}
	let := f.play(60 * time.Second)
	assert.Assert(t, within(let, 8*time.Second, 20*time.Second) >= 0.9)
	assert.Assert(t, within(let, 40*time.Second, 60*time.Second) >= 0.95)
}
