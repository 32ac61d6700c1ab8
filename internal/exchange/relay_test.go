package exchange

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
)

func told(id fleet.DaemonID, seq uint64, spare bool, spent map[fleet.WorkspaceID]float64) Part {
	p := part(id, 0, 1, 3)
	p.Soft.Spent, p.Seq, p.Spare = spent, seq, spare
	return p
}

// relayAll gives one hub all that another has to relay since a turn.
func relayAll(from, to *Hub, now time.Time, since Turn) []Relayed {
	all := from.Relay(now, since, since)
	for i := range all {
		to.TakeRelayed(now, 0, &all[i])
	}
	return all
}

// Guards against spending that is counted twice or not at all where two hubs of a data
// centre hear of it and one of them relays it.
func TestRelayedPartsCountOnce(t *testing.T) {
	first, second, far := NewHub(reports), NewHub(reports), NewHub(reports)
	spent := func(v float64) map[fleet.WorkspaceID]float64 { return map[fleet.WorkspaceID]float64{"w": v} }
	tell := func(at time.Time, seq uint64, v float64) {
		first.Take(at, 0, told("a", seq, false, spent(v)))
		second.Take(at, 0, told("a", seq, true, spent(v)))
	}
	tell(start, 1, 10)
	relayAll(first, far, start, 0)
	relayAll(first, second, start, 0)
	assert.Equal(t, len(second.Relay(start, 0, 0)), 0)
	before := first.Turn()
	later := start.Add(reports)
	tell(later, 2, 25)
	relayAll(first, far, later, before)
	relayAll(first, second, later, before)
	assert.Equal(t, far.Spent(later, "x")["w"], 15.0)
	assert.Equal(t, second.Spent(later, "x")["w"], 15.0)
	assert.Equal(t, far.Begun(7)["w"], uint64(3))
}

// Guards against spending that is lost with a hub that died before it relayed it.
func TestHubThatTakesOverRelaysAll(t *testing.T) {
	second, far := NewHub(reports), NewHub(reports)
	both := map[fleet.WorkspaceID]float64{"v": 1, "w": 2}
	second.Take(start, 0, told("a", 1, true, both))
	at := start.Add(reports)
	second.Take(at, 0, told("b", 1, false, map[fleet.WorkspaceID]float64{"w": 0}))
	relayAll(second, far, at, 0)
	before := second.Turn()
	take := at.Add(reports)
	second.Take(take, 0, told("a", 2, false, both))
	all := relayAll(second, far, take, before)
	assert.Equal(t, len(all), 1)
	assert.Equal(t, len(all[0].Soft.Spent), 2)
}

// A relay carries what changed alone; the rest stays as it was told before.
func TestRelayHasWhatChanged(t *testing.T) {
	from, to := NewHub(reports), NewHub(reports)
	from.Take(start, 0, told("a", 1, false, map[fleet.WorkspaceID]float64{"v": 1, "w": 2}))
	relayAll(from, to, start, 0)
	before := from.Turn()
	at := start.Add(reports)
	from.Take(at, 0, told("a", 2, false, map[fleet.WorkspaceID]float64{"v": 1, "w": 5}))
	all := relayAll(from, to, at, before)
	assert.Equal(t, len(all[0].Soft.Spent), 1)
	assert.Equal(t, to.Spent(at, "x")["w"], 3.0)
	assert.Equal(t, to.Spent(at, "x")["v"], 0.0)
	assert.Equal(t, len(relayAll(from, to, at, from.Turn())), 0)
}

func TestRelaysSurviveTheWay(t *testing.T) {
	p := told("hub", 3, true, nil)
	p.Hub = true
	p.Self = &membership.Member{Instance: "i", Daemon: "hub", Caller: "c", Peer: "p", DataCentre: "d", Region: "r", Incarnation: 9}
	p.Relayed = []Relayed{{Part: told("a", 4, false, map[fleet.WorkspaceID]float64{"w": 2}), Age: 30 * time.Millisecond, Changes: true}}
	got := decodePart(encodePart(&p))
	assert.DeepEqual(t, *got.Self, *p.Self)
	assert.Assert(t, got.Hub && got.Spare && got.Seq == 3)
	assert.Equal(t, len(got.Relayed), 1)
	r := got.Relayed[0]
	assert.Assert(t, r.Changes && r.Age == 30*time.Millisecond && r.Seq == 4 && r.Daemon == "a")
	assert.Equal(t, r.Soft.Spent["w"], 2.0)
	text, err := EncodeMember(p.Self)
	assert.NilError(t, err)
	m, err := DecodeMember(text)
	assert.NilError(t, err)
	assert.DeepEqual(t, m, *p.Self)
}

// Guards against spending that is lost where a report comes while the hub relays: its
// time is taken before its turn.
func TestReportThatCameBeforeARelayIsRelayedAfterIt(t *testing.T) {
	from, to := NewHub(reports), NewHub(reports)
	from.Take(start, 0, told("a", 1, false, map[fleet.WorkspaceID]float64{"w": 2}))
	at := start.Add(reports)
	relayAll(from, to, at, 0)
	before := from.Turn()
	from.Take(at.Add(-time.Millisecond), 0, told("a", 2, false, map[fleet.WorkspaceID]float64{"w": 5}))
	relayAll(from, to, at, before)
	assert.Equal(t, to.Spent(at, "x")["w"], 3.0)
}

// The interval of reports doesn't grow with a fleet whose hubs relay to each other.
func TestReportsOfAnyFleetAreAsOften(t *testing.T) {
	for _, daemons := range []int{300, 986, 1972, 4000} {
		centre := daemons / 6
		reporters := centre / Groups(centre)
		assert.Assert(t, Meshed(daemons))
		assert.Assert(t, UrgentInterval(reporters) <= 300*time.Millisecond, "%d daemons: %v", daemons, UrgentInterval(reporters))
		assert.Assert(t, MeshInterval(reporters) <= MeshInterval(GroupSize), "%d daemons: %v", daemons, MeshInterval(reporters))
	}
}
