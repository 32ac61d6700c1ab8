package node

import (
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
)

// versionedEngine is an engine that writes its version into the events of streams.
type versionedEngine struct {
	address string
	version atomic.Value
}

func (f *testFleet) startEngine(version string) *versionedEngine {
	f.t.Helper()
	e := &versionedEngine{}
	e.version.Store(version)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		if strings.HasPrefix(r.Header.Get("Id"), "first") { // an attempt that begins a stream
			_, _ = io.WriteString(w, "id: 1\ndata: "+e.version.Load().(string)+"\n\n")
		}
		_, _ = io.WriteString(w, "id: 2\ndata: "+e.version.Load().(string)+"\n\n")
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	e.address = l.Addr().String()
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return e
}

// register writes an engine's entry.
func (f *testFleet) register(id string, e *versionedEngine) {
	f.t.Helper()
	spec, err := json.Marshal(e.address + " " + e.version.Load().(string))
	assert.NilError(f.t, err)
	assert.NilError(f.t, (&Node{platform: Platform{Store: f.store}}).put(f.t.Context(), "endpoints", id, spec))
}

// servedFleet is a fleet that has served one version for long.
func servedFleet(t testing.TB, daemons int, config string) (*testFleet, *versionedEngine) {
	t.Helper()
	f := newFleet(t, 0)
	f.write(config)
	e := f.startEngine("v1")
	f.register("e1", e)
	for range daemons {
		f.add()
	}
	f.awaitReady()
	f.until("the list is in order", func(n *Node) bool { return n.peers.listAge(time.Now()) < n.contactBound() })
	for _, n := range f.nodes {
		n.origins.restore(origin.Conclusion{History: origin.History{Known: 2 * time.Minute}, Settled: true})
	}
	f.awaitRecord(func(r *origin.Record) bool { return r.Known >= time.Minute })
	return f, e
}

// record returns the stored record, nil if there is none.
func (f *testFleet) record() *origin.Record {
	kept, err := stored[limitsCheckpoint](f.store.Get(f.t.Context(), limitsKind, limitsName))
	if err != nil || kept.Versions == nil {
		return nil
	}
	r := &origin.Record{}
	assert.NilError(f.t, json.Unmarshal(kept.Versions, r))
	return r
}

func (f *testFleet) awaitRecord(ok func(r *origin.Record) bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if r := f.record(); r != nil && ok(r) {
			return poll.Success()
		}
		return poll.Continue("no such record")
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
}

// changeKept changes the stored limits.
func (f *testFleet) changeKept(change func(kept *limitsCheckpoint)) {
	f.t.Helper()
	kept, err := stored[limitsCheckpoint](f.store.Get(f.t.Context(), limitsKind, limitsName))
	assert.NilError(f.t, err)
	change(&kept)
	text, err := json.Marshal(kept)
	assert.NilError(f.t, err)
	_, err = f.store.Replace(f.t.Context(), limitsKind, limitsName, 0, text)
	assert.NilError(f.t, err)
}

// changeRecord replaces the stored record.
func (f *testFleet) changeRecord(r *origin.Record) {
	f.t.Helper()
	text, err := json.Marshal(r)
	assert.NilError(f.t, err)
	f.changeKept(func(kept *limitsCheckpoint) { kept.Versions = text })
}

// killAll ends all daemons; what they write meanwhile is lost.
func (f *testFleet) killAll() {
	f.store.setDown(true)
	f.stop()
	f.store.setDown(false)
	f.nodes, f.cancel, f.done = nil, nil, nil
	f.store.takeReadCount()
}

// startAgain starts as many daemons again, which is no first start.
func (f *testFleet) startAgain(daemons int) {
	for range daemons {
		f.addWith(f.store, func(n *Node) { n.settings.Daemon.FirstStart = false })
	}
}

// streamSink records what a caller gets of a stream.
type streamSink struct {
	recordingSink
	text string
}

func (s *streamSink) WriteBody(b []byte) error { s.text += string(b); return nil }

// takeUp takes a stream up that no daemon knows.
func takeUp(n *Node) *streamSink {
	out, now := &streamSink{}, time.Now()
	n.Serve(context.Background(), &relay.Request{
		ID: "again", Method: "POST", Target: "/stream/1", Path: "/stream/1", Host: "h", Key: "key", LastEvent: "1", Resumes: "first",
		Received: now, Deadline: now.Add(5 * time.Second),
	}, out)
	return out
}

// Guards against streams refused after a kill of all daemons, though one version alone has served.
func TestStreamsGoOnAfterAllDaemonsWereKilled(t *testing.T) {
	for _, daemons := range []int{1, 3, exchange.SmallFleet + 3} {
		f, _ := servedFleet(t, daemons, "1")
		f.killAll()
		f.startAgain(daemons)
		for _, n := range f.nodes {
			got := takeUp(n)
			assert.Equal(t, got.text, "id: 2\ndata: v1\n\n", "%d daemons: %+v", daemons, got.refusal)
		}
		reads := f.store.takeReadCount()
		t.Logf("%d daemons: %d reads of the history", daemons, reads)
		if daemons > exchange.SmallFleet {
			assert.Assert(t, reads <= 4, "%d reads", reads)
		}
	}
}

// Guards against streams that go on at another version than the one that began them.
func TestStreamsAreRefusedWhereTheVersionIsNotKnown(t *testing.T) {
	var beforeMove *origin.Record
	for _, test := range []struct {
		name   string
		config string
		before func(f *testFleet, e *versionedEngine) // while the fleet serves
		killed func(f *testFleet, e *versionedEngine) // while no daemon runs
	}{
		{name: "a release while the daemons are down", killed: func(f *testFleet, e *versionedEngine) {
			e.version.Store("v2")
			f.register("e1", e)
		}},
		{name: "another version beside", killed: func(f *testFleet, _ *versionedEngine) {
			f.register("e2", f.startEngine("v2"))
		}},
		{name: "another version for a moment", killed: func(f *testFleet, e *versionedEngine) {
			e.version.Store("v2")
			f.register("e1", e)
			e.version.Store("v1")
			f.register("e1", e)
		}},
		{name: "a release just before", before: func(f *testFleet, e *versionedEngine) {
			e.version.Store("v2")
			f.register("e1", e)
			f.awaitRecord(func(r *origin.Record) bool { return len(r.Seen) > 1 })
		}},
		{name: "the store came back from an older copy", killed: func(f *testFleet, _ *versionedEngine) {
			f.store.restore(f.store.snapshot())
		}},
		{name: "history dropped", killed: func(f *testFleet, e *versionedEngine) {
			f.register("e1", e)
			f.store.dropHistory()
		}},
		{name: "record lost", killed: func(f *testFleet, _ *versionedEngine) {
			f.store.remove(limitsKind, limitsName)
		}},
		{name: "an earlier release", killed: func(f *testFleet, _ *versionedEngine) {
			f.changeKept(func(kept *limitsCheckpoint) { kept.Versions = nil })
		}},
		{name: "a record that can't be decoded", killed: func(f *testFleet, _ *versionedEngine) {
			f.changeKept(func(kept *limitsCheckpoint) { kept.Versions = json.RawMessage(`{"at":7}`) })
		}},
		{name: "an entry that can't be decoded", killed: func(f *testFleet, _ *versionedEngine) {
			_, err := f.store.Create(f.t.Context(), "endpoints", "e2", json.RawMessage("{}"))
			assert.NilError(f.t, err)
		}},
		{name: "the streams' route gets another service", config: "1 t", killed: func(f *testFleet, _ *versionedEngine) {
			f.write("2 s")
		}},
		{name: "the streams' route had another service for a moment", before: func(f *testFleet, _ *versionedEngine) {
			f.write("2 t")
			f.until("version 2 in force", func(n *Node) bool { return n.config.current().Version == 2 })
			f.write("3 s")
			f.until("version 3 in force", func(n *Node) bool { return n.config.current().Version == 3 })
			f.awaitRecord(func(r *origin.Record) bool { return r.Known < time.Minute })
		}},
		{name: "the streams' route had another service after the record", before: func(f *testFleet, _ *versionedEngine) {
			beforeMove = f.record()
			f.write("2 t")
			f.until("version 2 in force", func(n *Node) bool { return n.config.current().Version == 2 })
			f.write("3 s")
			f.until("version 3 in force", func(n *Node) bool { return n.config.current().Version == 3 })
		}, killed: func(f *testFleet, _ *versionedEngine) {
			f.changeRecord(beforeMove) // one may have been written since
		}},
		{name: "the streams' route had another service for a moment while the daemons are down", killed: func(f *testFleet, _ *versionedEngine) {
			f.write("2 t")
			f.write("3 s")
		}},
		{name: "a configuration that can't be decoded", killed: func(f *testFleet, _ *versionedEngine) {
			f.write("later")
			f.write("2")
		}},
		{name: "a record of an earlier release, without the configuration's revision", killed: func(f *testFleet, _ *versionedEngine) {
			r := f.record()
			r.Config = origin.ConfigRecord{}
			f.changeRecord(r)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, e := servedFleet(t, 3, cmp.Or(test.config, "1"))
			if test.before != nil {
				test.before(f, e)
			}
			f.killAll()
			if test.killed != nil {
				test.killed(f, e)
			}
			f.startAgain(3)
			for _, n := range f.nodes {
				got := takeUp(n)
				assert.Assert(t, got.refusal != nil && got.refusal.Reason == relay.UnknownVersion, "%+v, %q", got.refusal, got.text)
			}
		})
	}
}

// Guards against streams that are refused for changes of the configuration that leave the routes'
// services as they were.
func TestStreamsGoOnAfterOtherChangesOfTheConfiguration(t *testing.T) {
	f, _ := servedFleet(t, 3, "1")
	f.write("2")
	f.until("version 2 in force", func(n *Node) bool { return n.config.current().Version == 2 })
	f.killAll()
	f.write("3")
	f.startAgain(3)
	for _, n := range f.nodes {
		got := takeUp(n)
		assert.Equal(t, got.text, "id: 2\ndata: v1\n\n", "%+v", got.refusal)
	}
}

// Guards against a record that is given up since the store doesn't answer at the start.
func TestVersionsAreRestoredOnceTheStoreAnswers(t *testing.T) {
	f, _ := servedFleet(t, 1, "1")
	f.killAll()
	watch := &failingReads{memoryStore: f.store}
	watch.left.Store(2)
	n := f.addWith(watch, func(n *Node) { n.settings.Daemon.FirstStart = false })
	f.until("the versions are known", func(n *Node) bool { return n.origins.reaches(origin.Retention) })
	assert.Equal(t, takeUp(n).text, "id: 2\ndata: v1\n\n")
	assert.Assert(t, watch.left.Load() < 0)
}

// Guards against a record that is replaced before daemons without a store have read it.
func TestVersionsAreRestoredAfterAnOutageAtTheStart(t *testing.T) {
	f, _ := servedFleet(t, 2, "1")
	f.killAll()
	f.store.setDown(true)
	f.startAgain(2)
	time.Sleep(1500 * time.Millisecond) // past the first reads
	f.store.setDown(false)
	f.until("the versions are known", func(n *Node) bool { return n.origins.reaches(origin.Retention) })
}

// failingReads is a store whose first reads of the history and of the limits fail.
type failingReads struct {
	*memoryStore
	left atomic.Int64
}

func (s *failingReads) Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]objects.Change, uint64, error) {
	if wait == 0 && s.left.Add(-1) >= 0 {
		return nil, 0, errDown
	}
	return s.memoryStore.Watch(ctx, kind, after, wait)
}

func (s *failingReads) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if kind == limitsKind && s.left.Add(-1) >= 0 {
		return objects.Object{}, errDown
	}
	return s.memoryStore.Get(ctx, kind, name)
}

// Guards against calls to the store at the first start of a large fleet.
func TestFirstStartReadsNoVersions(t *testing.T) {
	f, _ := servedFleet(t, 1, "1")
	f.killAll()
	n := f.add()
	f.awaitReady()
	began := time.Now()
	assert.Equal(t, takeUp(n).refusal.Reason, relay.UnknownVersion)
	assert.Assert(t, time.Since(began) < historyHold)
	f.until("a later start would have read", func(n *Node) bool { return time.Since(n.started) > watchDelay+time.Second })
	assert.Equal(t, f.store.takeReadCount(), 0)
}

// Guards against reads by each daemon of a large fleet that starts again and has found few others.
func TestDaemonOfALargeFleetReadsOnceItHasFoundTheOthers(t *testing.T) {
	f := newFleet(t, 1)
	f.awaitReady()
	n := f.nodes[0]
	f.until("the list is in order", func(n *Node) bool { return n.peers.listAge(time.Now()) < n.contactBound() })
	for prior, due := range map[int]bool{1: true, exchange.SmallFleet: true, exchange.SmallFleet + 1: false, 986: false} {
		n.members.prior.Store(&prior)
		assert.Equal(t, n.restorer.due(n.started.Add(startTime-1)), due, "%d daemons before", prior)
	}
}

// Guards against a history whose sender lacked a change of routes' services.
func TestHistoryOfAnOlderConfigurationIsNotTaken(t *testing.T) {
	f := newFleet(t, 1)
	f.awaitReady()
	n, h := f.nodes[0], origin.History{Known: 2 * time.Minute}
	n.origins.mergeHistory(h, n.config.firstVersion()-1)
	assert.Assert(t, n.origins.wantsVersions())
	n.origins.mergeHistory(h, n.config.firstVersion())
	assert.Assert(t, !n.origins.wantsVersions())
}
