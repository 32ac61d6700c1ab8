package exchange

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
)

// demandRelay is two daemons that report to one hub, which relays to a hub without reports of
// its own.
type demandRelay struct {
	near, far *Hub
	seq       uint64
	relayed   Cursor
}

// report makes both daemons report, and relays the reports unless the link is down.
func (d *demandRelay) report(at time.Time, a, b float64, linkDown bool) {
	d.seq++
	d.near.Add(at, 0, demandReport("a", d.seq, a, 7))
	d.near.Add(at, 0, demandReport("b", d.seq, b, 7))
	if linkDown {
		return
	}
	relayAll(d.near, d.far, at, d.relayed)
	d.relayed = d.near.Cursor()
}

// Guards against a hub that takes all demand so far for new after a pause or a cut between hubs.
func TestDemandBeforeAPauseIsNotCountedAgain(t *testing.T) {
	for _, linkDown := range []bool{false, true} {
		t.Run(fmt.Sprint("link down: ", linkDown), func(t *testing.T) {
			d := &demandRelay{near: NewHub(reportInterval), far: NewHub(reportInterval)}
			at := start
			d.report(at, 1000, 1000, false)
			at = at.Add(reportInterval)
			d.report(at, 50000, 60000, false)
			assert.Equal(t, d.far.Demands(at, "x")["w"]["r"].Amount, 108000.0)
			for range 24 {
				at = at.Add(reportInterval)
				d.report(at, 50000, 60000, linkDown)
				d.far.Demands(at, "x")
			}
			at = at.Add(reportInterval)
			d.report(at, 50010, 60000, false)
			before := d.far.Demands(at, "x")["w"]["r"].Amount
			at = at.Add(reportInterval)
			d.report(at, 50010, 60010, false)
			added := d.far.Demands(at, "x")["w"]["r"].Amount - before
			assert.Assert(t, before <= 108010 && added <= 10, "%v, %v more", before, added)
		})
	}
}

// Guards against routes that no daemon names any more and that are kept while a limit is short.
func TestDemandOfRoutesThatAreNoLongerReportedIsDropped(t *testing.T) {
	h := NewHub(reportInterval)
	at := start
	for i := range 100 {
		at = at.Add(reportInterval)
		r := sequencedReport("a", uint64(i+1), false, nil)
		r.Soft.Demands = quota.Demands{"w": {"r": {Amount: float64(i), Requests: 1}, fmt.Sprint("other", i): {Amount: 1, Requests: 1}}}
		h.Add(at, 0, r)
		h.Demands(at, "x")
	}
	kept := 2 + int((demandExpireAfter+time.Second)/reportInterval)
	assert.Assert(t, len(h.demands.all) <= kept, "%d demands", len(h.demands.all))
	assert.Assert(t, len(h.daemons["a"].demands) <= kept, "%d demands", len(h.daemons["a"].demands))
	assert.Equal(t, h.Demands(at, "x")["w"]["r"].Amount, 99.0)
}

// Guards against finite amounts of a faulty daemon whose sums overflow or lose requests.
func TestDemandsTooLargeToBeSummedAreIgnored(t *testing.T) {
	for _, d := range []*exchangepb.Demand{
		{Workspace: "w", Route: "r", Amount: 1.7e308, Requests: 1},
		{Workspace: "w", Route: "r", Amount: 1, Requests: 1 << 63},
	} {
		assert.Equal(t, len(decodeDemands([]*exchangepb.Demand{d})), 0, "%v", d)
	}
}

// Guards against a demand that never expires, since a faulty hub relays it with a negative age.
func TestRelayedReportIsNotFromTheFuture(t *testing.T) {
	for _, ms := range []int64{-3_600_000, math.MaxInt64} {
		assert.Assert(t, decodeRelayed(&exchangepb.Report{AgeMs: ms}).Age >= 0)
	}
}
