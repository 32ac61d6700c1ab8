package quota_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
)

// The fleet and the workspace of TestLimitIsSpentByPriority in platform/soak.
const (
	smallDaemons = 6
	smallRate    = 400.0 // tokens per second
	smallBurst   = 400.0 // tokens
	smallExcess  = 100.0 // tokens that are tolerated beyond the limit
	// smallLargest is the largest request. The checks allow it in addition: the one that uses
	// up the tolerance is admitted whole.
	smallLargest = 70.0
	smallEnd     = 16 * time.Second
	smallSeeds   = 60
	// smallJudgedFrom is when the burst is spent and shares are known.
	smallJudgedFrom = 4 * time.Second
)

var smallWorkspace = route.Workspace{Name: testWorkspace, Rate: smallRate, Burst: smallBurst}

// smallRoute is a route whose requests come at a fixed interval, each at a random daemon.
type smallRoute struct {
	route.Route
	tokens   float64
	interval time.Duration
}

// smallRoutes request 3.1 times the limit.
var smallRoutes = []smallRoute{
	{route.Route{Name: "rank-0", Priority: 0}, 70, 150 * time.Millisecond},
	{route.Route{Name: "rank-1", Priority: 1}, 30, 80 * time.Millisecond},
	{route.Route{Name: "rank-2", Priority: 2}, 10, 25 * time.Millisecond},
}

// smallFleet simulates a workspace whose demand begins at a few daemons with full buckets.
type smallFleet struct {
	random     *rand.Rand
	limits     []*quota.Quota
	hubs       []*exchange.Hub
	nextReport []time.Duration // by daemon
	seqs       []uint64
	requests   []playRequest
}

func newSmallFleet(seed uint64) *smallFleet {
	f := &smallFleet{random: rand.New(rand.NewPCG(seed, 1)), seqs: make([]uint64, smallDaemons)}
	table := route.Table{Workspaces: []route.Workspace{smallWorkspace}}
	for i := range smallRoutes {
		table.Routes = append(table.Routes, smallRoutes[i].Route)
	}
	interval := exchange.NormalInterval(smallDaemons)
	for range 2 {
		f.hubs = append(f.hubs, exchange.NewHub(interval))
	}
	for i := range smallDaemons {
		q := quota.New(true, quota.Tolerance{Amount: smallExcess})
		q.SetRandom(rand.New(rand.NewPCG(seed, uint64(i+2))))
		q.Configure(startTime, &table)
		q.SetDaemons(startTime, smallDaemons)
		f.limits = append(f.limits, q)
		f.nextReport = append(f.nextReport, time.Duration(f.random.Int64N(int64(interval))))
	}
	return f
}

// run begins the demand at one second.
func (f *smallFleet) run() {
	const step = 5 * time.Millisecond
	for t := time.Duration(0); t < time.Second+smallEnd; t += step {
		for i, q := range f.limits {
			if t%(250*time.Millisecond) == 0 {
				q.SetDaemons(startTime.Add(t), smallDaemons)
			}
			if t >= f.nextReport[i] {
				f.report(i, t)
			}
		}
		for i := range smallRoutes {
			if r := &smallRoutes[i]; t > time.Second && t%r.interval == 0 {
				_, ok := f.limits[f.random.IntN(smallDaemons)].Take(startTime.Add(t), &smallWorkspace, &r.Route, r.tokens)
				f.requests = append(f.requests, playRequest{t - time.Second, &r.Route, r.tokens, ok})
			}
		}
	}
}

// report sends a daemon's report, and applies the answers.
func (f *smallFleet) report(i int, t time.Duration) {
	now, q := startTime.Add(t), f.limits[i]
	interval := exchange.NormalInterval(smallDaemons)
	q.SetReportInterval(now, interval)
	f.nextReport[i] = t + interval + time.Duration(f.random.Int64N(int64(30*time.Millisecond)))
	f.seqs[i]++
	id := fleet.DaemonID(fmt.Sprint(i))
	for n, hub := range f.hubs {
		spent := map[fleet.WorkspaceID]float64{testWorkspace: q.Spent()[testWorkspace]}
		hub.Add(now, t, exchange.Report{Daemon: id, Soft: relay.SoftState{Spent: spent, Demands: q.Demands()}, WallTime: now, Seq: f.seqs[i], Backup: n > 0})
		q.UpdateOthers(now, fmt.Sprint(n), hub.Spent(now, id), false)
		q.UpdateDemands(now, fmt.Sprint(n), hub.Demands(now, id))
	}
}

// worstExcess returns the most tokens beyond rate and burst in any window that ends at a time
// or later.
func (f *smallFleet) worstExcess(from time.Duration) float64 {
	worst, level, last := 0.0, 0.0, time.Duration(0) // of a bucket that fills with what is admitted
	for _, q := range f.requests {
		if !q.ok {
			continue
		}
		level = max(level-smallRate*(q.at-last).Seconds(), 0) + q.cost
		last = q.at
		if q.at >= from {
			worst = max(worst, level-smallBurst)
		}
	}
	return worst
}

// used returns the part of the limit that was admitted from a time on.
func (f *smallFleet) used(from time.Duration) float64 {
	sum := 0.0
	for _, q := range f.requests {
		if q.ok && q.at >= from {
			sum += q.cost
		}
	}
	return sum / (smallRate * (smallEnd - from).Seconds())
}

// Guards against a small fleet that exceeds a small tolerance just after demand jumps.
func TestSmallFleetKeepsTheLimitJustAfterAJump(t *testing.T) {
	t.Parallel()
	for seed := range uint64(smallSeeds) {
		f := newSmallFleet(seed)
		f.run()
		excess := f.worstExcess(0)
		assert.Check(t, excess <= smallExcess+smallLargest, "seed %d: %.0f tokens beyond the limit", seed, excess)
	}
}

// Guards against a small fleet that exceeds a small tolerance while shares are in force.
func TestSmallFleetKeepsTheLimitByPriority(t *testing.T) {
	t.Parallel()
	var all [3]served
	meanExcess, meanUsed := 0.0, 0.0
	for seed := range uint64(smallSeeds) {
		f := newSmallFleet(seed)
		f.run()
		for _, q := range f.requests {
			if q.at >= smallJudgedFrom {
				all[q.route.Priority].add(q.ok)
			}
		}
		excess, settled, used := f.worstExcess(0), f.worstExcess(smallJudgedFrom), f.used(smallJudgedFrom)
		t.Logf("seed %d: %.0f tokens beyond the limit, %.0f from %v on, %.3f of the limit used", seed, excess, settled, smallJudgedFrom, used)
		assert.Check(t, settled <= smallExcess+smallLargest, "seed %d: %.0f tokens beyond the limit from %v on", seed, settled, smallJudgedFrom)
		assert.Check(t, used >= 0.9, "seed %d: %.3f of the limit used", seed, used)
		meanExcess += excess / smallSeeds
		meanUsed += used / smallSeeds
	}
	t.Logf("mean of all seeds: %.0f tokens beyond the limit, %.3f of the limit used; served %.3f %.3f %.3f", meanExcess, meanUsed, all[0].share(), all[1].share(), all[2].share())
	assert.Check(t, meanExcess <= smallExcess+smallLargest, "%.0f tokens beyond the limit", meanExcess)
	assert.Check(t, meanUsed >= 0.98, "%.3f of the limit used", meanUsed)
	for i := range all[1:] {
		chance := 2 * math.Sqrt(all[0].variance()+all[i+1].variance())
		assert.Check(t, all[0].share() >= all[i+1].share()-chance, "priority 0 served %.3f, %d %.3f", all[0].share(), i+1, all[i+1].share())
	}
}
