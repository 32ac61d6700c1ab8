package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/admission"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/listapi"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/template"
)

var epoch = time.Date(2026, 1, 31, 0, 0, 0, 0, time.UTC)

// The store is down and 340 daemons tell their digests in one view. Were one
// dropped, the only daemon with a newer template might not be asked for it.
func TestDigestsOfOneViewAreAllTaken(t *testing.T) {
	var b digestInbox
	for i := range 340 {
		b.put(fleet.DaemonID(fmt.Sprint(i)), template.Digest{Newest: 1})
	}
	b.put("7", template.Digest{Newest: 2})
	b.drop("8")
	heard := b.take()
	assert.Equal(t, len(heard), 339)
	assert.Equal(t, heard["7"].Newest, uint64(2))
	assert.Equal(t, len(b.take()), 0)
}

func TestTemplateLagCountsFromTheFirstWord(t *testing.T) {
	var l templateLag
	l.published(template.Digest{Newest: 5})
	l.heard(epoch, template.Digest{Newest: 5})
	assert.Equal(t, l.lag(epoch.Add(time.Minute)), time.Duration(0))
	l.heard(epoch, template.Digest{Newest: 8})
	l.heard(epoch.Add(time.Second), template.Digest{Newest: 9})
	assert.Equal(t, l.lag(epoch.Add(3*time.Second)), 3*time.Second)
	l.published(template.Digest{Newest: 9})
	assert.Equal(t, l.lag(epoch.Add(3*time.Second)), time.Duration(0))
	assert.Equal(t, l.version(), uint64(9))
}

func TestBytesOfConnectionsAreCounted(t *testing.T) {
	var count byteCount
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counted := count.listen(l)
	defer func() { assert.NilError(t, counted.Close()) }()
	go func() {
		c, err := counted.Accept()
		if err != nil {
			return
		}
		_, _ = io.CopyN(io.Discard, c, 7)
		_, _ = io.WriteString(c, "answer")
		_ = c.Close()
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	_, err = io.WriteString(c, "request")
	assert.NilError(t, err)
	_, err = io.ReadAll(c)
	assert.NilError(t, err)
	assert.Equal(t, count.in.Load(), uint64(7))
	assert.Equal(t, count.out.Load(), uint64(6))
}

func TestOwnerTimesItsWork(t *testing.T) {
	o := newOwner("test", 1, new(int))
	ctx, cancel := context.WithCancel(context.Background())
	go o.run(ctx, time.Hour, func(time.Time, *int) {})
	assert.Assert(t, o.ask(func(_ time.Time, n *int) { *n++ }))
	cancel()
	<-o.done
	assert.Assert(t, o.busy.seconds() > 0)
}

func engineList(n int) []fleet.Endpoint {
	out := make([]fleet.Endpoint, n)
	for i := range out {
		out[i].ID = fleet.EndpointID(fmt.Sprintf("engine-%d", i))
	}
	return out
}

// polls runs a plan for some time and returns when each engine was polled.
func polls(p *pollPlan, list []fleet.Endpoint, full bool, d time.Duration, each func(now time.Time)) map[fleet.EndpointID][]time.Time {
	out := make(map[fleet.EndpointID][]time.Time)
	for now := epoch; now.Before(epoch.Add(d)); now = now.Add(p.pause(len(list), full)) {
		each(now)
		id := list[p.pick(now, list, full)].ID
		out[id] = append(out[id], now)
	}
	return out
}

func TestFewEnginesAreEachPolledAsOftenAsAsked(t *testing.T) {
	for _, n := range []int{1, 4, 18, 20} {
		seen := polls(newPollPlan(time.Second), engineList(n), false, time.Minute, func(time.Time) {})
		for _, e := range engineList(n) {
			assert.Assert(t, len(seen[e.ID]) >= 59, "%d engines: %d polls", n, len(seen[e.ID]))
		}
	}
}

// At 690 engines polling all of them costs more bytes than a daemon may spend,
// and the reports that matter here come too late. The few engines in use must
// be polled often, all others must not be forgotten, within the bound.
func TestManyEnginesArePolledWhereTheyAreUsed(t *testing.T) {
	const n, inUse, minutes = 690, 30, 20
	p, list := newPollPlan(time.Second), engineList(n)
	seen := polls(p, list, false, minutes*time.Minute, func(now time.Time) {
		for i := range inUse {
			p.dispatched(now, list[i].ID)
		}
	})
	total := 0
	for _, e := range list {
		total += len(seen[e.ID])
	}
	assert.Assert(t, total <= minutes*60*fewestPolls+1)
	assert.Equal(t, len(seen), n)
	for _, e := range list[:inUse] {
		worst := time.Duration(0)
		for i, at := range seen[e.ID][1:] {
			worst = max(worst, at.Sub(seen[e.ID][i]))
		}
		assert.Assert(t, worst <= 11*time.Second, "%s after %s", e.ID, worst)
	}
	p.forget(nil)
	assert.Equal(t, len(p.used)+len(p.asked), 0)
}

func TestDecidingDaemonPollsInFull(t *testing.T) {
	seen := polls(newPollPlan(time.Second), engineList(690), true, time.Minute, func(time.Time) {})
	assert.Equal(t, len(seen), 690)
}

func fleetList(daemons, engines int) listapi.List {
	var l listapi.List
	for i := range daemons {
		l.Entries = append(l.Entries, listapi.Entry{
			Instance: fleet.InstanceID(fmt.Sprintf("entry-%d", i)), Address: "10.20.30.40:8443", Peer: "10.20.30.40:7443",
			DataCentre: "cane-east-1", Region: "cane-east", State: fleet.Live,
		})
	}
	for i := range engines {
		id := fmt.Sprintf("engine-%d", i)
		l.Endpoints = append(l.Endpoints, fleet.Endpoint{
			ID: fleet.EndpointID(id), Instance: fleet.InstanceID(id), Address: "10.20.30.40:9000",
			DataCentre: "cane-east-1", Region: "cane-east", Kind: fleet.EngineEndpoint, Class: "standard-8", HourPrice: 11.25,
			Fences: true, State: fleet.Live, Models: []fleet.ModelRef{{Model: "harvester-diagnosis", Adapter: "cane", Version: "12"}},
		})
	}
	return l
}

func TestListSizeIsAboutItsJSON(t *testing.T) {
	for _, size := range [][2]int{{9, 22}, {340, 690}} {
		list := fleetList(size[0], size[1])
		text, err := json.Marshal(list)
		assert.NilError(t, err)
		got := listBytes(&list)
		assert.Assert(t, math.Abs(float64(got-len(text))) < 0.05*float64(len(text)), "%d, is %d", got, len(text))
	}
}

// In a large fleet the list is read seldom. Notices may be away then, and
// endpoints that leave would get new work for minutes: so it is read often.
func TestLargeListIsReadSeldomWhileNoticesCome(t *testing.T) {
	small, large := fleetList(9, 22), fleetList(340, 690)
	assert.Equal(t, listPause(2*time.Second, listBytes(&small), false), 2*time.Second)
	paced := listPause(2*time.Second, listBytes(&large), false)
	assert.Assert(t, paced > time.Minute && paced <= listLongest, "%s", paced)
	assert.Equal(t, listPause(2*time.Second, listBytes(&large), true), 2*time.Second)
}

func benchRoster(n int) (*roster, []peerInfo) {
	r := newRoster(peerInfo{Instance: "entry-0", Daemon: "run-0", DataCentre: "dc-0", Serving: true, Alive: true}, 3, newLifecycle())
	var peers []peerInfo
	for i := range n {
		peers = append(peers, peerInfo{
			Instance:   fleet.InstanceID(fmt.Sprintf("entry-%d", i)),
			Daemon:     fleet.DaemonID(fmt.Sprintf("run-%d", i)),
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", i%11)),
			Serving:    true,
			Alive:      true,
		})
	}
	return r, peers
}

// Daemons and callers rank entries in different places; all must agree.
func TestEntriesAreTheBestByRendezvous(t *testing.T) {
	r, peers := benchRoster(85)
	r.set(peers)
	for i := range 100 {
		workspace := fleet.WorkspaceID(fmt.Sprint("workspace-", i))
		want := rendezvous.Rank(rendezvous.Key("entries "+string(workspace)), r.view.Load().serving, 3)
		got := r.entries(workspace)
		for j, id := range want {
			assert.Equal(t, string(got[j].Instance), id)
		}
	}
}

// BenchmarkRoster is what a change of the membership costs, and the choice of a
// workspace's entries, which the sharing of limits makes twice a second for
// each workspace.
func BenchmarkRoster(b *testing.B) {
	for _, n := range []int{9, 85, 340} {
		r, peers := benchRoster(n)
		r.set(peers)
		b.Run(fmt.Sprintf("set/daemons=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.set(slices.Clone(peers))
			}
		})
		b.Run(fmt.Sprintf("entries/daemons=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r.entries("workspace-17")
			}
		})
	}
}

// BenchmarkSharing is what the sharing of limits costs a daemon each second
// for each workspace of the fleet, without the calls to other daemons.
func BenchmarkSharing(b *testing.B) {
	for _, workspaces := range []int{5, 50, 200, 1000} {
		b.Run(fmt.Sprintf("daemons=340/workspaces=%d", workspaces), func(b *testing.B) {
			r, peers := benchRoster(340)
			r.set(peers)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			a := newAdmissionDuty()
			a.start(ctx)
			d := newSharingDuty("run-0", r, a, nil)
			d.ctx = ctx
			s := d.state
			for i := range workspaces {
				s.limits[fleet.WorkspaceID(fmt.Sprint("workspace-", i))] = admission.Limits{RequestsPerSecond: 100, RequestBurst: 100}
			}
			b.ReportAllocs()
			for b.Loop() {
				for id := range d.demands(s) {
					d.sharesOf(s, id, d.members(id))
				}
				d.apply(s)
			}
			a.ask(func(time.Time, *admissionState) {}) // the last round has been applied
		})
	}
}

// BenchmarkPools is what following the endpoints' reports costs, four times a
// second.
func BenchmarkPools(b *testing.B) {
	for _, engines := range []int{18, 170, 690} {
		b.Run(fmt.Sprintf("engines=%d", engines), func(b *testing.B) {
			list := fleetList(0, engines)
			duty := &routingDuty{}
			duty.current.Store(&endpoints{list: list.Endpoints})
			d := &poolDuty{routing: duty, observing: newObservingDuty(nil, duty, time.Second)}
			for b.Loop() {
				d.samples()
			}
		})
	}
}
