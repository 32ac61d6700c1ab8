package exchange

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
)

// demandReport returns a report of the demand of one workspace on the routes r and s.
func demandReport(id fleet.DaemonID, seq uint64, r, s float64) Report {
	report := sequencedReport(id, seq, false, nil)
	report.Soft.Demands = quota.Demands{"w": {"r": {Amount: r, Requests: uint64(r / 10)}, "s": {Amount: s, Requests: 1}}}
	return report
}

// Guards against demand that is lost or changed between daemon and hub.
func TestDemandsRoundTrip(t *testing.T) {
	want := quota.Demands{"w": {"r": {Amount: 1.5, Requests: 2}, "s": {Amount: 3}}, "v": {"r": {Amount: 4, Requests: 1}}}
	assert.DeepEqual(t, decodeDemands(encodeDemands(want)), want)
	assert.Equal(t, len(encodeDemands(nil)), 0)
}

// Guards against amounts of a faulty daemon that spoil the sums of the whole fleet.
func TestInvalidDemandsAreIgnored(t *testing.T) {
	for _, amount := range []float64{-1, math.NaN(), math.Inf(1)} {
		got := decodeDemands([]*exchangepb.Demand{{Workspace: "w", Route: "r", Amount: amount, Requests: 1}})
		assert.Equal(t, len(got), 0, "%v", amount)
	}
}

// Guards against sums that include a daemon's own demand, or that from before the hub began.
func TestHubSumsTheOthersDemand(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, demandReport("a", 1, 1000, 7))
	h.Add(start, 0, demandReport("b", 1, 2000, 7))
	at := start.Add(reportInterval)
	h.Add(at, 0, demandReport("a", 2, 1100, 7))
	h.Add(at, 0, demandReport("b", 2, 2030, 8))
	assert.DeepEqual(t, h.Demands(at, "a")["w"], quota.Demand{"r": {Amount: 30, Requests: 3}, "s": {Amount: 1}})
	assert.Equal(t, h.Demands(at, "x")["w"]["r"], quota.Asked{Amount: 130, Requests: 13})
}

// Guards against demand that is lost where a daemon's count begins again.
func TestDemandThatBeginsAgainCounts(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, demandReport("a", 1, 1000, 7))
	at := start.Add(reportInterval)
	h.Add(at, 0, demandReport("a", 2, 40, 7))
	assert.Equal(t, h.Demands(at, "x")["w"]["r"], quota.Asked{Amount: 40, Requests: 4})
}

// Guards against requests at new daemons that count for nothing after a kill of all.
func TestDemandOfADaemonThatHasJustStartedCounts(t *testing.T) {
	h := NewHub(reportInterval)
	r := demandReport("a", 1, 50, 7)
	r.Soft.JustStarted = true
	h.Add(start, 0, r)
	assert.Equal(t, h.Demands(start, "x")["w"]["r"].Amount, 50.0)
}

// Guards against a jump of the sums when a daemon that was silent is heard again.
func TestDemandInASilenceCountsInPart(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, demandReport("a", 1, 0, 0))
	at := start.Add(8 * time.Second)
	h.Add(at, 0, demandReport("a", 2, 800, 0))
	got := h.Demands(at, "x")["w"]["r"].Amount
	assert.Equal(t, got, 800*quota.CountedShare(8*time.Second, reportInterval))
}

// Guards against demand that is sent while no limit is short.
func TestDemandIsDroppedOnceTheLimitIsNotShort(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, demandReport("a", 1, 10, 7))
	at := start.Add(reportInterval)
	h.Add(at, 0, demandReport("a", 2, 20, 7))
	assert.Equal(t, len(h.Demands(at, "x")), 1)
	later := at.Add(demandExpireAfter + time.Second)
	h.Add(later, 0, sequencedReport("a", 3, false, nil))
	assert.Assert(t, h.Demands(later, "x") == nil)
	assert.Equal(t, len(h.daemons["a"].demands), 0)
	h.Add(later.Add(reportInterval), 0, demandReport("a", 4, 30, 7))
	assert.Equal(t, h.Demands(later.Add(reportInterval), "x")["w"]["r"].Amount, 30.0)
}

// Guards against demand that counts twice or not at all where hubs relay it.
func TestRelayedDemandCountsOnce(t *testing.T) {
	first, second, far := NewHub(reportInterval), NewHub(reportInterval), NewHub(reportInterval)
	report := func(at time.Time, seq uint64, r, s float64) {
		first.Add(at, 0, demandReport("a", seq, r, s))
		backup := demandReport("a", seq, r, s)
		backup.Backup = true
		second.Add(at, 0, backup)
	}
	report(start, 1, 100, 5)
	relayAll(first, far, start, 0)
	relayAll(first, second, start, 0)
	before := first.Cursor()
	later := start.Add(reportInterval)
	report(later, 2, 150, 5)
	relayed := relayAll(first, far, later, before)
	relayAll(first, second, later, before)
	assert.DeepEqual(t, relayed[0].Soft.Demands, quota.Demands{"w": {"r": {Amount: 150, Requests: 15}}})
	for _, h := range []*Hub{first, second, far} {
		assert.Equal(t, h.Demands(later, "x")["w"]["r"], quota.Asked{Amount: 50, Requests: 5})
		assert.Equal(t, h.Demands(later, "x")["w"]["s"].Amount, 0.0)
	}
}
