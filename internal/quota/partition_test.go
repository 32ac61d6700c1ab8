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
	step          = 50 * time.Millisecond
	rate          = 60000.0 // tokens per second; also the burst
	cost          = 10.0
	testWorkspace = fleet.WorkspaceID("workshop")
)

var startTime = time.Unix(1000, 0)

// partitionedFleet is a fleet whose last daemons are partitioned from the others for a
// while. Both parts elect a hub of their own once they detect it.
type partitionedFleet struct {
	daemons, cutOff           int           // the last cutOff daemons are partitioned
	from, to                  time.Duration // of the partition
	jumpAt                    time.Duration // when demand jumps
	demandBefore, demandAfter float64       // as a part of the limit
	reportInterval            time.Duration // of a daemon
	detection                 time.Duration // time until a part has detected the partition or its end
	dead                      bool          // the daemons that are cut off are dead, and their demand moves to the others

	limits        []*quota.Quota
	hubs          map[string]*exchange.Hub
	pendingDemand []float64 // by daemon, demand that isn't a whole request yet
}

func (f *partitionedFleet) start() {
	f.hubs = map[string]*exchange.Hub{"main": exchange.NewHub(f.reportInterval), "away": exchange.NewHub(f.reportInterval)}
	f.pendingDemand = make([]float64, f.daemons)
	for range f.daemons {
		q := quota.New(true, quota.Tolerance{})
		q.Configure(startTime, &route.Table{Workspaces: []route.Workspace{{Name: testWorkspace, Rate: rate, Burst: rate}}})
		q.SetDaemons(startTime, f.daemons)
		f.limits = append(f.limits, q)
	}
}

// isCutOff reports whether a daemon belongs to the part that is cut off.
func (f *partitionedFleet) isCutOff(i int) bool { return i >= f.daemons-f.cutOff }

// hub returns the hub that a daemon reports to, and whether the daemon can reach it.
func (f *partitionedFleet) hub(i int, t time.Duration) (name string, reached bool) {
	if !f.isCutOff(i) {
		return "main", true
	}
	detected := t >= f.from+f.detection && t < f.to+f.detection
	partitioned := t >= f.from && t < f.to
	if detected {
		return "away", true
	}
	return "main", !partitioned
}

// updateDaemonCounts sets the number of reachable daemons once a second.
func (f *partitionedFleet) updateDaemonCounts(t time.Duration) {
	if t%time.Second != 0 {
		return
	}
	detected := t >= f.from+f.detection && t < f.to+f.detection
	for i, q := range f.limits {
		n := f.daemons
		switch {
		case detected && f.isCutOff(i):
			n = f.cutOff
		case detected:
			n = f.daemons - f.cutOff
		}
		q.SetDaemons(startTime.Add(t), n)
	}
}

// run returns what was admitted at each step.
func (f *partitionedFleet) run(length time.Duration) []float64 {
	f.start()
	w := route.Workspace{Name: testWorkspace, Rate: rate, Burst: rate}
	var admitted []float64
	for t := time.Duration(0); t < length; t += step {
		f.updateDaemonCounts(t)
		now := startTime.Add(t)
		demand := f.demandBefore
		if t >= f.jumpAt {
			demand = f.demandAfter
		}
		sum := 0.0
		live := f.daemons
		if f.dead && t >= f.from {
			live -= f.cutOff
		}
		for i, q := range f.limits[:live] {
			f.pendingDemand[i] += demand * rate * step.Seconds() / float64(live)
			for ; f.pendingDemand[i] >= cost; f.pendingDemand[i] -= cost {
				if _, ok := q.Take(now, &w, nil, cost); ok {
					sum += cost
				}
			}
			if (t+time.Duration(i)*step)%f.reportInterval == 0 {
				f.report(i, t)
			}
		}
		admitted = append(admitted, sum)
	}
	return admitted
}

// report sends one daemon's report and applies the answer.
func (f *partitionedFleet) report(i int, t time.Duration) {
	name, reached := f.hub(i, t)
	if !reached {
		return
	}
	now, q := startTime.Add(t), f.limits[i]
	spent := map[fleet.WorkspaceID]float64{testWorkspace: q.Spent()[testWorkspace]}
	id := fleet.DaemonID(fmt.Sprint(i))
	f.hubs[name].Add(now, t, exchange.Report{Daemon: id, Soft: relay.SoftState{Spent: spent}, WallTime: now})
	q.KeepHubs([]string{name})
	q.UpdateOthers(now, name, f.hubs[name].Spent(now, id), false)
}

// maxWindowShare returns the largest sum over a window, as a part of what the limit
// allows in it.
func maxWindowShare(admitted []float64, window time.Duration) float64 {
	n, sum, best := int(window/step), 0.0, 0.0
	for i, v := range admitted {
		sum += v
		if i >= n {
			sum -= admitted[i-n]
		}
		best = max(best, sum)
	}
	return best / (rate*window.Seconds() + rate)
}

// admittedShare returns what was admitted between two times, as a part of the rate.
func admittedShare(admitted []float64, from, to time.Duration) float64 {
	sum := 0.0
	for _, v := range admitted[from/step : to/step] {
		sum += v
	}
	return sum / (rate * (to - from).Seconds())
}

// A workspace asks for three times its limit when some of the daemons are partitioned
// from the others for twelve seconds. Neither part receives reports of the other's
// spending. If each part admitted the whole limit, callers would get nearly twice the
// limit.
func TestPartitionedFleetKeepsOneLimit(t *testing.T) {
	t.Parallel()
	for _, cutOff := range []int{6, 22, 40} {
		f := &partitionedFleet{
			daemons: 60, cutOff: cutOff, from: 8 * time.Second, to: 20 * time.Second, jumpAt: 500 * time.Millisecond,
			demandBefore: 0.5, demandAfter: 3, reportInterval: 400 * time.Millisecond, detection: 2 * time.Second,
		}
		admitted := f.run(40 * time.Second)
		assert.Assert(t, maxWindowShare(admitted, 8*time.Second) <= 1.1, "%d cut off: admitted %.2f of what is allowed", cutOff, maxWindowShare(admitted, 8*time.Second))
		during, after := admittedShare(admitted, 10*time.Second, 20*time.Second), admittedShare(admitted, 23*time.Second, 31*time.Second)
		assert.Assert(t, during >= 0.85, "%d cut off: %.2f of the limit during the partition", cutOff, during)
		assert.Assert(t, after >= 0.85, "%d cut off: %.2f of the limit after the partition", cutOff, after)
	}
}

// The same, but demand jumps half a second before the partition, so that no daemon has
// received reports of the others' spending yet. Callers may then get somewhat more
// than the limit until the parts detect the partition.
func TestPartitionJustAfterADemandJump(t *testing.T) {
	t.Parallel()
	for _, cutOff := range []int{6, 22} {
		f := &partitionedFleet{
			daemons: 60, cutOff: cutOff, from: time.Second, to: 13 * time.Second, jumpAt: 500 * time.Millisecond,
			demandBefore: 0.5, demandAfter: 3, reportInterval: 400 * time.Millisecond, detection: 2 * time.Second,
		}
		admitted := f.run(40 * time.Second)
		assert.Assert(t, maxWindowShare(admitted, 8*time.Second) <= 1.2, "%d cut off: admitted %.2f of what is allowed", cutOff, maxWindowShare(admitted, 8*time.Second))
		during := admittedShare(admitted, 3*time.Second, 13*time.Second)
		assert.Assert(t, during >= 0.85, "%d cut off: %.2f of the limit during the partition", cutOff, during)
	}
}

// A workspace asks for three times its limit at sixty daemons whose reports are late.
// Callers must be served evenly: a second in which nearly everything is admitted must
// not be followed by one in which nearly everything is refused.
func TestLimitIsServedEvenly(t *testing.T) {
	t.Parallel()
	f := &partitionedFleet{daemons: 60, jumpAt: 0, demandAfter: 3, reportInterval: 400 * time.Millisecond, from: time.Hour, to: time.Hour}
	admitted := f.run(30 * time.Second)
	for s := 4 * time.Second; s < 30*time.Second; s += time.Second {
		got := admittedShare(admitted, s, s+time.Second)
		assert.Assert(t, got >= 0.8 && got <= 1.2, "%.2f of the limit at %v", got, s)
	}
}

// An idle workspace has its whole burst left when a third of the daemons is
// partitioned. A second later its demand jumps. If each daemon could spend the burst
// before it receives reports, the part that is cut off would admit its whole demand.
func TestBurstIsSharedByIsolatedDaemons(t *testing.T) {
	t.Parallel()
	f := &partitionedFleet{
		daemons: 60, cutOff: 22, from: 4 * time.Second, to: 16 * time.Second, jumpAt: 5 * time.Second,
		demandBefore: 0.2, demandAfter: 6, reportInterval: 400 * time.Millisecond, detection: 2 * time.Second,
	}
	admitted := f.run(40 * time.Second)
	assert.Assert(t, maxWindowShare(admitted, 8*time.Second) <= 1.15, "admitted %.2f of what is allowed", maxWindowShare(admitted, 8*time.Second))
	after := admittedShare(admitted, 20*time.Second, 28*time.Second)
	assert.Assert(t, after >= 0.85, "%.2f of the limit after the partition", after)
}

// Daemons die for good while a workspace asks for more than its limit. The others must
// soon admit the whole limit again.
func TestShrunkFleetServesTheWholeLimit(t *testing.T) {
	t.Parallel()
	f := &partitionedFleet{
		daemons: 9, cutOff: 1, from: 5 * time.Second, to: time.Hour, dead: true,
		demandBefore: 3, demandAfter: 3, reportInterval: 250 * time.Millisecond, detection: 2 * time.Second,
	}
	admitted := f.run(60 * time.Second)
	assert.Assert(t, admittedShare(admitted, 8*time.Second, 20*time.Second) >= 0.9)
	assert.Assert(t, admittedShare(admitted, 40*time.Second, 60*time.Second) >= 0.95)
}
