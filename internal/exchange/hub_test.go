package exchange

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/feed"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rollout"
)

var start = time.Unix(1000, 0)

// reportInterval is the time between two reports to the hubs of these tests.
const reportInterval = 400 * time.Millisecond

// testEndpoint is the endpoint at which all daemons have requests.
var testEndpoint = rendezvous.ShortKeyOf("e")

func newReport(id fleet.DaemonID, spent float64, requests int, started uint64) Report {
	return Report{
		Daemon: id,
		Soft: relay.SoftState{
			Spent: map[fleet.WorkspaceID]float64{"w": spent},
			Load:  balance.Loads{testEndpoint: {Requests: requests}},
		},
		Windows:  map[uint64]RequestCounts{7: {"w": started}},
		WallTime: start,
	}
}

// A daemon dies while it has requests. Its load must expire, but what it has admitted must
// still count against the limit, and the requests that it started must still be reported.
func TestDeadDaemonsLoadExpiresAndItsTotalsStay(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, newReport("a", 10, 1, 3))
	h.Add(start, 0, newReport("b", 20, 2, 4))
	later := start.Add(minStaleAfter + time.Millisecond)
	h.Add(later, 0, newReport("a", 11, 1, 3))
	b := newReport("b", 50, 2, 4)
	h.Add(start, 0, b)
	assert.Equal(t, h.Spent(later, "a")["w"], 30.0)
	assert.Equal(t, h.Loads(later, "a").Others()[testEndpoint].Requests, 0)
	assert.Equal(t, h.RequestCounts(7)["w"], uint64(7))
	h.Add(start.Add(time.Minute), 0, newReport("a", 12, 1, 3))
	assert.Equal(t, h.Spent(start.Add(time.Minute), "a")["w"], 30.0)
}

// A third of the instances' clocks step. If the fleet's time were their mean, usage windows
// would start and end at the wrong time.
func TestStepsOfAFewClocksDoNotMoveFleetTime(t *testing.T) {
	h := NewHub(reportInterval)
	for i, step := range []time.Duration{0, 0, 0, 0, 2400 * time.Millisecond, -2400 * time.Millisecond} {
		r := newReport(fleet.DaemonID(rune('a'+i)), 0, 0, 0)
		r.WallTime = start.Add(step)
		h.Add(start, 100, r)
	}
	skew, ok := h.Skew(start)
	assert.Assert(t, ok)
	assert.Equal(t, skew, time.Duration(start.UnixNano())-100)
}

func TestReportsAndRepliesRoundTrip(t *testing.T) {
	r := newReport("a", 1.5, 2, 3)
	r.Holder = Holder{Daemon: "b", Token: 6}
	r.ConfigVersion = 4
	r.Soft.Work = map[string]relay.Work{"s": {Requests: 1, Refused: 2, SlotSeconds: 2.5, Prefill: 7}}
	r.EndpointsPosition, r.OmitLoads, r.WantLevels, r.Fetches = feed.Position{Epoch: 8, Seq: 9, Revision: 4}, true, true, true
	r.Rollouts = []rollout.Report{{
		Service: "s", Key: rollout.Key{Target: "v2", Started: 5}, Asked: 3, Exposed: 1, Running: 2, Moved: true,
		Rows: []rollout.Row{{Route: "r", Endpoint: "e", Counts: rollout.Counts{Failed: 1}}},
	}}
	r.RolloutUpdate = rollout.Update{
		Rank: rollout.Rank{Token: 4, Seq: 2}, Age: 30 * time.Millisecond, OrdersAge: 40 * time.Millisecond,
		Splits: []rollout.Split{{
			Service: "s", Key: rollout.Key{Target: "v2", Started: 5}, Phase: rollout.Moving, Share: 0.25,
			Routes: map[string]float64{"r": 1}, Spread: 4, Rotation: 9,
		}},
	}
	r.RateLimits = []backpressure.Statement{
		{Endpoint: 7, StartedAt: time.UnixMilli(900), InForce: true, PerSecond: 1.2, At: time.UnixMilli(1000)},
		{Endpoint: 8, At: time.UnixMilli(2000)},
	}
	r.RateLimitsPosition = backpressure.Position{Epoch: 3, Seq: 4}
	r.Unreachable, r.ForwardAddress, r.WantForwarders = []string{"s"}, "127.0.0.1:9", true
	assert.DeepEqual(t, decodeReport(encodeReport(&r)), r)
	reply := Reply{ConfigVersion: 4, Config: []byte("text"), ConfigRevision: 77, Soft: relay.SoftState{Spent: r.Soft.Spent, Levels: r.Soft.Spent}, FleetTime: start, Holder: Holder{Daemon: "a", Token: 7}}
	reply.Forwarders = []Forwarder{{Address: "127.0.0.1:9", Unreachable: []string{"t"}}}
	reply.RateLimits, reply.RateLimitsPosition = r.RateLimits, r.RateLimitsPosition
	reply.StoreAge, reply.RolloutUpdate = 300*time.Millisecond, r.RolloutUpdate
	reply.Endpoints = feed.Update{
		To: feed.Position{Epoch: 1, Seq: 2, Revision: 6}, Full: true, Keys: []rendezvous.ShortKey{7, 8},
		Items: []feed.Item{{Name: "e", Spec: []byte("{}"), Revision: 5}}, Removed: []string{"f"},
	}
	assert.DeepEqual(t, decodeReply(encodeReply(&reply)), reply)
}

// A new hub receives the first report of each daemon, which has all that the daemon has
// admitted since its own start. If that counted as spent now, a whole day's spending would
// be deducted from the workspaces' limits at once, and all requests would be rejected until
// the limits refill.
func TestNewHubCountsSpendingFromTheFirstReport(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, newReport("a", 0, 0, 0))
	h.Add(start, 0, newReport("b", 1_000_000, 0, 0))
	before := h.Spent(start, "a")["w"]
	h.Add(start, 0, newReport("c", 2_000_000, 0, 0))
	h.Add(start, 0, newReport("b", 1_000_010, 0, 0))
	assert.Equal(t, h.Spent(start.Add(2*maxCacheAge), "a")["w"]-before, 10.0)
}

// A daemon receives reports in the fleet's first second, before all daemons agree on the
// hubs, and becomes a hub half a minute later. The spending in between must not count as
// one jump.
func TestSpendingInALongGapIsNotCounted(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, newReport("a", 0, 0, 0))
	h.Add(start, 0, newReport("b", 10, 0, 0))
	before := h.Spent(start, "a")["w"]
	later := start.Add(30 * time.Second)
	h.Add(later, 0, newReport("b", 1_000_000, 0, 0))
	h.Add(later, 0, newReport("b", 1_000_010, 0, 0))
	assert.Equal(t, h.Spent(later.Add(2*maxCacheAge), "a")["w"]-before, 10.0)
}

// All daemons are killed at once. The next holder of the duties restores the last one's
// checkpoint and adds the requests started since. A daemon that survived must count once,
// and its earlier spending must not count as spent now.
func TestRequestCountsSurviveLossOfTheWholeFleet(t *testing.T) {
	old := NewHub(reportInterval)
	old.Add(start, 0, newReport("a", 10, 1, 3))
	old.Add(start, 0, newReport("lives", 500, 1, 4))
	c := old.Checkpoint(7)
	assert.Equal(t, len(old.Checkpoint(8)), 0)
	h := NewHub(reportInterval)
	h.Add(start, 0, newReport("new", 0, 1, 2))
	h.Restore(start, c)
	assert.Equal(t, h.RequestCounts(7)["w"], uint64(2+3+4))
	before := h.Spent(start, "new")["w"]
	h.Add(start, 0, newReport("lives", 500, 1, 5))
	later := start.Add(2 * maxCacheAge)
	assert.Equal(t, h.RequestCounts(7)["w"], uint64(2+3+5))
	assert.Equal(t, h.Spent(later, "new")["w"], before)
	assert.Equal(t, h.Loads(later, "new").Others()[testEndpoint].Requests, 1)
}

// A daemon is partitioned from its hub for three seconds and meanwhile admits what its own
// share of the limit allows. The other daemons have left that share unused. If all of it
// counted afterwards, they would reject requests for it a second time.
func TestSpendingInAShortGapCountsInPart(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, newReport("a", 0, 0, 0))
	h.Add(start, 0, newReport("b", 10, 0, 0))
	before := h.Spent(start, "a")["w"]
	later := start.Add(3 * time.Second)
	h.Add(later, 0, newReport("b", 1010, 0, 0))
	// One and a half intervals plus a quarter of a second, of the three seconds.
	const counted = 1000 * 0.85 / 3
	assert.Assert(t, math.Abs(h.Spent(later, "a")["w"]-before-counted) < 1e-6)
	h.Add(later.Add(time.Millisecond), 0, newReport("b", 1020, 0, 0))
	assert.Assert(t, math.Abs(h.Spent(later.Add(2*maxCacheAge), "a")["w"]-before-counted-10) < 1e-6)
}

// Guards against treating a daemon as gone between two reports, which are far apart in a
// large fleet. Other daemons would then send requests to endpoints that it has filled, and
// only a part of what it admits would count against limits.
func TestDaemonStaysLiveBetweenReportsAtAnyFleetSize(t *testing.T) {
	for _, daemons := range []int{6, 80, 195, 340, 1000} {
		interval := NormalInterval(daemons)
		h := NewHub(interval)
		h.Add(start, 0, newReport("a", 0, 1, 0))
		h.Add(start, 0, newReport("b", 0, 1, 0))
		h.Spent(start, "a")
		late := start.Add(interval*3/2 + 200*time.Millisecond)
		assert.Equal(t, h.Loads(late, "a").Others()[testEndpoint].Requests, 1, "%d daemons", daemons)
		_, ok := h.Skew(late)
		assert.Assert(t, ok, "%d daemons", daemons)
		h.Add(late, 0, newReport("b", 500, 1, 0))
		assert.Equal(t, h.Spent(late.Add(2*maxCacheAge), "a")["w"], 500.0, "%d daemons", daemons)
	}
}

// Usage windows are sent less often than the rest of a report. A report without them must
// not discard the counts of an earlier one, or reported usage would be too low.
func TestReportWithoutWindowsKeepsThePreviousOnes(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, newReport("a", 10, 1, 3))
	withoutWindows := newReport("a", 20, 1, 0)
	withoutWindows.Windows = nil
	h.Add(start.Add(reportInterval), 0, withoutWindows)
	assert.Equal(t, h.RequestCounts(7)["w"], uint64(3))
	h.Add(start.Add(2*reportInterval), 0, newReport("a", 30, 1, 5))
	assert.Equal(t, h.RequestCounts(7)["w"], uint64(5))
}

// Guards against requests that are forwarded to a daemon of an earlier release.
func TestForwardersReportTheirAddress(t *testing.T) {
	h := NewHub(smallInterval)
	old, current := newReport("old", 0, 0, 0), newReport("current", 0, 2, 0)
	current.ForwardAddress, current.Unreachable = "127.0.0.1:9", []string{"s"}
	h.Add(start, 0, old)
	h.Add(start, 0, current)
	_, _, ok := h.Forwarder(start, "old")
	assert.Assert(t, !ok)
	f, _, ok := h.Forwarder(start, "current")
	assert.Assert(t, ok)
	assert.DeepEqual(t, f, Forwarder{Address: "127.0.0.1:9", Unreachable: []string{"s"}})
	_, _, ok = h.Forwarder(start.Add(time.Minute), "current")
	assert.Assert(t, !ok)
}
