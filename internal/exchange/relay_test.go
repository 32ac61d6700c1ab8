package exchange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

// sequencedReport returns a report to the backup hub or to the hub that relays it.
func sequencedReport(id fleet.DaemonID, seq uint64, backup bool, spent map[fleet.WorkspaceID]float64) Report {
	r := newReport(id, 0, 1, 3)
	r.Soft.Spent, r.Seq, r.Backup = spent, seq, backup
	return r
}

// relayAll relays one hub's reports after a cursor to another hub.
func relayAll(from, to *Hub, now time.Time, since Cursor) []RelayedReport {
	all := from.ReportsToRelay(now, since, since)
	for i := range all {
		to.AddRelayed(now, 0, &all[i])
	}
	return all
}

// Guards against spending that counts twice or not at all, where two hubs of a data centre
// receive a report and one of them relays it.
func TestRelayedReportsCountOnce(t *testing.T) {
	first, second, far := NewHub(reportInterval), NewHub(reportInterval), NewHub(reportInterval)
	spent := func(v float64) map[fleet.WorkspaceID]float64 { return map[fleet.WorkspaceID]float64{"w": v} }
	report := func(at time.Time, seq uint64, v float64) {
		first.Add(at, 0, sequencedReport("a", seq, false, spent(v)))
		second.Add(at, 0, sequencedReport("a", seq, true, spent(v)))
	}
	report(start, 1, 10)
	relayAll(first, far, start, 0)
	relayAll(first, second, start, 0)
	assert.Equal(t, len(second.ReportsToRelay(start, 0, 0)), 0)
	before := first.Cursor()
	later := start.Add(reportInterval)
	report(later, 2, 25)
	relayAll(first, far, later, before)
	relayAll(first, second, later, before)
	assert.Equal(t, far.Spent(later, "x")["w"], 15.0)
	assert.Equal(t, second.Spent(later, "x")["w"], 15.0)
	assert.Equal(t, far.RequestCounts(7)["w"], uint64(3))
}

// Guards against losing spending that a hub received but did not relay before it failed.
func TestHubThatTakesOverRelaysAllSpending(t *testing.T) {
	second, far := NewHub(reportInterval), NewHub(reportInterval)
	both := map[fleet.WorkspaceID]float64{"v": 1, "w": 2}
	second.Add(start, 0, sequencedReport("a", 1, true, both))
	at := start.Add(reportInterval)
	second.Add(at, 0, sequencedReport("b", 1, false, map[fleet.WorkspaceID]float64{"w": 0}))
	relayAll(second, far, at, 0)
	before := second.Cursor()
	takeover := at.Add(reportInterval)
	second.Add(takeover, 0, sequencedReport("a", 2, false, both))
	all := relayAll(second, far, takeover, before)
	assert.Equal(t, len(all), 1)
	assert.Equal(t, len(all[0].Soft.Spent), 2)
}

// A relay must contain only what has changed, and the receiver must keep the rest.
func TestRelayContainsOnlyChanges(t *testing.T) {
	from, to := NewHub(reportInterval), NewHub(reportInterval)
	from.Add(start, 0, sequencedReport("a", 1, false, map[fleet.WorkspaceID]float64{"v": 1, "w": 2}))
	relayAll(from, to, start, 0)
	before := from.Cursor()
	at := start.Add(reportInterval)
	from.Add(at, 0, sequencedReport("a", 2, false, map[fleet.WorkspaceID]float64{"v": 1, "w": 5}))
	all := relayAll(from, to, at, before)
	assert.Equal(t, len(all[0].Soft.Spent), 1)
	assert.Equal(t, to.Spent(at, "x")["w"], 3.0)
	assert.Equal(t, to.Spent(at, "x")["v"], 0.0)
	assert.Equal(t, len(relayAll(from, to, at, from.Cursor())), 0)
}

func TestRelayedReportsAndMembersRoundTrip(t *testing.T) {
	report := sequencedReport("hub", 3, true, nil)
	report.IsHub = true
	report.Self = &membership.Member{Instance: "i", Daemon: "hub", Caller: "c", Peer: "p", DataCentre: "d", Region: "r", Incarnation: 9}
	report.Relayed = []RelayedReport{{Report: sequencedReport("a", 4, false, map[fleet.WorkspaceID]float64{"w": 2}), Age: 30 * time.Millisecond, ChangedOnly: true}}
	got := decodeReport(encodeReport(&report))
	assert.DeepEqual(t, *got.Self, *report.Self)
	assert.Assert(t, got.IsHub && got.Backup && got.Seq == 3)
	assert.Equal(t, len(got.Relayed), 1)
	r := got.Relayed[0]
	assert.Assert(t, r.ChangedOnly && r.Age == 30*time.Millisecond && r.Seq == 4 && r.Daemon == "a")
	assert.Equal(t, r.Soft.Spent["w"], 2.0)
	text, err := EncodeMember(report.Self)
	assert.NilError(t, err)
	m, err := DecodeMember(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, m, *report.Self)
}

// Guards against losing the spending in a report that arrives while the hub relays. Its
// time is before that of the relay, though the hub adds it afterwards.
func TestReportReceivedDuringARelayIsInTheNextOne(t *testing.T) {
	from, to := NewHub(reportInterval), NewHub(reportInterval)
	from.Add(start, 0, sequencedReport("a", 1, false, map[fleet.WorkspaceID]float64{"w": 2}))
	at := start.Add(reportInterval)
	relayAll(from, to, at, 0)
	before := from.Cursor()
	from.Add(at.Add(-time.Millisecond), 0, sequencedReport("a", 2, false, map[fleet.WorkspaceID]float64{"w": 5}))
	relayAll(from, to, at, before)
	assert.Equal(t, to.Spent(at, "x")["w"], 3.0)
}

// The time between reports must not grow with a fleet whose hubs relay to each other.
func TestReportIntervalInAMeshDoesNotGrowWithTheFleet(t *testing.T) {
	for _, daemons := range []int{300, 986, 1972, 4000} {
		centre := daemons / 6
		reporters := centre / Groups(centre)
		assert.Assert(t, Meshed(daemons))
		assert.Assert(t, UrgentInterval(reporters) <= 300*time.Millisecond, "%d daemons: %v", daemons, UrgentInterval(reporters))
		assert.Assert(t, MeshInterval(reporters) <= MeshInterval(GroupSize), "%d daemons: %v", daemons, MeshInterval(reporters))
	}
}
