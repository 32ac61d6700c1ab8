package exchange

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/balance"
	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange/exchangepb"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

// speedReport returns a report with an observation of one endpoint, or none for weight 0.
func speedReport(id fleet.DaemonID, weight float64) Report {
	r := newReport(id, 0, 1, 0)
	if weight > 0 {
		r.Soft.Speeds = speed.Observations{testEndpoint: {Weight: weight, LogEventSeconds: -3, Load: 0.5}}
	}
	return r
}

func closeTo(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= tolerance, "%v, not %v", got, want)
}

// Guards against own observations that count twice, since a hub sends all daemons the same sum.
func TestOthersSpeedsExcludeOwn(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, speedReport("a", 8))
	h.Add(start, 0, speedReport("b", 4))
	h.Add(start, 0, speedReport("new", 0))
	reply := decodeReply(encodeReply(&Reply{Speeds: h.Speeds(start, "a")}))
	got := reply.Speeds.Others()[testEndpoint]
	closeTo(t, got.Weight, 4, 1e-9)
	closeTo(t, got.LogEventSeconds, -3, 0.01)
	closeTo(t, got.Load, 0.5, 0.01)
	closeTo(t, h.Speeds(start, "new").Others()[testEndpoint].Weight, 12, 1e-9)
	assert.Assert(t, h.Speeds(start, "unknown") == nil)
	assert.Assert(t, decodeReply(encodeReply(&Reply{})).Speeds == nil)
}

// The sum must be encoded once for many replies, and sent to a daemon only once in a while.
func TestSumsOfSpeedsAreSharedAndRare(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, speedReport("a", 8))
	h.Add(start, 0, speedReport("b", 4))
	first := h.Speeds(start, "a")
	second := h.Speeds(start.Add(minSpeedCacheAge/2), "b")
	assert.Assert(t, first.encoded == second.encoded)
	assert.Assert(t, h.Speeds(start.Add(minSumsInterval/2), "a") == nil)
	h.Add(start.Add(minSumsInterval/2), 0, speedReport("a", 9))
	assert.Assert(t, h.Speeds(start.Add(minSumsInterval/2), "a") == nil)
	later := start.Add(minSumsInterval)
	third := h.Speeds(later, "a")
	assert.Assert(t, third != nil && third.encoded != first.encoded)
}

// Guards against observations that outlive their daemon, or are dropped by a report without any.
func TestSpeedsDecayAndExpire(t *testing.T) {
	h := NewHub(reportInterval)
	h.Add(start, 0, speedReport("a", 8))
	h.Add(start, 0, speedReport("b", 4))
	at := start.Add(minStaleAfter / 2)
	h.Add(at, 0, speedReport("a", 0))
	got := h.Speeds(at, "a").All[testEndpoint]
	closeTo(t, got.Weight, 12*math.Exp2(-0.125), 1e-9)
	later := start.Add(4 * time.Second)
	h.Add(later, 0, speedReport("a", 0))
	closeTo(t, h.Speeds(later, "a").All[testEndpoint].Weight, 4, 1e-9)
	gone := later.Add(minStaleAfter + time.Millisecond)
	assert.Assert(t, h.Speeds(gone, "a") == nil)
}

// Guards against observations that stay at one hub, or reach others twice or without their age.
func TestSpeedsAreRelayed(t *testing.T) {
	near, far := NewHub(reportInterval), NewHub(reportInterval)
	near.Add(start, 0, sequenced(speedReport("a", 8), 1))
	near.Add(start.Add(time.Second), 0, sequenced(speedReport("a", 0), 2))
	at := start.Add(time.Second)
	relay := func(since Cursor) []RelayedReport {
		all := near.ReportsToRelay(at, since, since)
		for i := range all {
			got := decodeRelayed(encodeRelayed(&all[i]))
			far.AddRelayed(at, 0, &got)
		}
		return all
	}
	relay(0)
	far.Add(at, 0, newReport("x", 0, 0, 0))
	closeTo(t, far.Speeds(at, "x").All[testEndpoint].Weight, 8*math.Exp2(-0.25), 0.13)
	before := near.Cursor()
	near.Add(at, 0, sequenced(speedReport("a", 0), 3))
	all := relay(before)
	assert.Equal(t, len(all), 1)
	assert.Equal(t, len(all[0].Soft.Speeds), 0)
	closeTo(t, far.sumSpeeds(at).all[testEndpoint].Weight, 8*math.Exp2(-0.25), 0.13)
}

func sequenced(r Report, seq uint64) Report {
	r.Seq = seq
	return r
}

// Guards against bytes for observations that say nothing.
func TestLittleWeightIsNotSent(t *testing.T) {
	all := speed.Observations{
		1: {Weight: 0.9, LogEventSeconds: -3, Load: 1},
		2: {Weight: 1, LogEventSeconds: -3, Load: 0.25},
		3: {Weight: 0.9, LogEventSeconds: -3, Load: 1},
	}
	assert.DeepEqual(t, decodeSpeeds(encodeSpeeds(all)), speed.Observations{
		2: {Weight: 1, LogEventSeconds: -3, Load: 0.25},
	})
}

// Lists of different lengths or with huge numbers must not disturb a daemon.
func FuzzDecodeSpeeds(f *testing.F) {
	seed, err := proto.Marshal(encodeSpeeds(speedReport("a", 8).Soft.Speeds))
	assert.NilError(f, err)
	f.Add(seed)
	f.Add([]byte{0x0d, 1, 2, 3, 4, 0x10, 7})
	f.Fuzz(func(t *testing.T, text []byte) {
		var p exchangepb.Speeds
		if proto.Unmarshal(text, &p) != nil {
			return
		}
		got := decodeSpeeds(&p)
		assert.Assert(t, len(got) <= len(p.Endpoints))
		for _, o := range got {
			assert.Assert(t, o.Weight <= maxWeight && math.Abs(o.LogEventSeconds) <= maxLog && o.Load <= 1)
		}
	})
}

// speedsOf returns observations of so many endpoints, as one daemon has of those that it uses.
func speedsOf(endpoints int, weight float64) speed.Observations {
	out := make(speed.Observations, endpoints)
	for i := range endpoints {
		key := rendezvous.ShortKeyOf(fmt.Sprint("i-", i))
		out[key] = speed.Observation{
			Weight: weight, LogEventSeconds: -3.2 + float64(i%7)/10, Load: float64(i%90) / 100,
		}
	}
	return out
}

// Each control byte counts: a daemon may use 7 KB a second in all.
func TestBytesOfSpeedsPerSecond(t *testing.T) {
	for _, f := range []struct{ daemons, endpoints, used int }{{78, 60, 42}, {986, 3000, 72}} {
		report := proto.Size(encodeSpeeds(speedsOf(f.used, 8)))
		sums, own := proto.Size(encodeSpeeds(speedsOf(f.endpoints, 400))), report
		reports := float64(report) / SpeedsInterval(f.daemons).Seconds()
		if !Meshed(f.daemons) {
			reports *= 1 + 1.0/BackupSpeedsEvery
		}
		replies := float64(sums+own) / speedSumsInterval(f.endpoints).Seconds()
		t.Logf("%d daemons, %d endpoints: report %d bytes, reply %d + %d, %.0f sent and %.0f received a second",
			f.daemons, f.endpoints, report, sums, own, reports, replies)
		t.Logf("whole messages: report %d bytes without and %d with speeds, reply %d and %d",
			proto.Size(encodeReport(wholeReport(f.used, nil))), proto.Size(encodeReport(wholeReport(f.used, speedsOf(f.used, 8)))),
			proto.Size(encodeReply(wholeReply(f.endpoints, f.used, nil))),
			proto.Size(encodeReply(wholeReply(f.endpoints, f.used, &Speeds{Own: speedsOf(f.used, 8), encoded: encodeSpeeds(speedsOf(f.endpoints, 400))}))))
		assert.Assert(t, reports < 900 && replies < 2300, "%v %v", reports, replies)
	}
}

// wholeReport returns a report with what a busy daemon usually sends, of 16 workspaces.
func wholeReport(used int, speeds speed.Observations) *Report {
	spent, load := map[fleet.WorkspaceID]float64{}, balance.Loads{}
	for i := range 16 {
		spent[fleet.WorkspaceID(fmt.Sprint("workspace-", i))] = 1e6
	}
	for i := range used / 4 {
		load[rendezvous.ShortKeyOf(fmt.Sprint("i-", i))] = balance.Load{Requests: 1, PendingPrefill: 6400}
	}
	return &Report{
		Daemon: "9-0123456789abcdef", ConfigVersion: 7, WallTime: start, Seq: 1000, Fetches: true, AcceptsCompressed: true,
		Soft: relay.SoftState{Spent: spent, Load: load, Speeds: speeds, Work: map[string]relay.Work{"llm": {Requests: 1e6, SlotSeconds: 1e6, Prefill: 1e6, Prompt: 1e6}}},
	}
}

// wholeReply returns the reply to such a report.
func wholeReply(endpoints, used int, speeds *Speeds) *Reply {
	report, all := wholeReport(used, nil), balance.Loads{}
	for i := range endpoints {
		all[rendezvous.ShortKeyOf(fmt.Sprint("i-", i))] = balance.Load{Requests: 12, PendingPrefill: 6400}
	}
	return &Reply{
		ConfigVersion: 7, ConfigRevision: 1e9, Soft: relay.SoftState{Spent: report.Soft.Spent}, FleetTime: start, Speeds: speeds,
		Loads: &Loads{Own: report.Soft.Load, encoded: encodeLoads(all)},
	}
}

// BenchmarkSumSpeeds measures a hub's sum of the observations of a large fleet.
func BenchmarkSumSpeeds(b *testing.B) {
	h := NewHub(reportInterval)
	for d := range 986 {
		r := newReport(fleet.DaemonID(fmt.Sprint(d)), 0, 1, 0)
		r.Soft.Speeds = speed.Observations{}
		for i := range 72 {
			r.Soft.Speeds[rendezvous.ShortKeyOf(fmt.Sprint("i-", (d*31+i*97)%3000))] = speed.Observation{Weight: 8, LogEventSeconds: -3}
		}
		h.Add(start, 0, r)
	}
	b.ReportAllocs()
	for b.Loop() {
		h.sumSpeeds(start)
	}
}
