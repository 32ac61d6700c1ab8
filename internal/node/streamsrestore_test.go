package node

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/origin"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
)

// originsStored returns the number of streams whose origins are stored.
func (f *testFleet) originsStored() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	stored := 0
	for _, o := range f.store.objects[streamsKind] {
		s := &origin.Streams{}
		assert.NilError(f.t, json.Unmarshal(o.Spec, s))
		stored += s.Len()
	}
	return stored
}

func (f *testFleet) awaitOriginsStored(n int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if stored := f.originsStored(); stored < n {
			return poll.Continue("%d of %d origins are stored", stored, n)
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}

// stream sends a request of a stream, which takes up the one that an attempt began unless that is empty.
func stream(n *Node, id, resumes string) *streamSink {
	out, now := &streamSink{}, time.Now()
	r := &relay.Request{
		ID: id, Method: "POST", Target: "/stream/1", Path: "/stream/1", Host: "h", Key: "key", Resumes: resumes,
		Received: now, Deadline: now.Add(5 * time.Second),
	}
	if resumes != "" {
		r.LastEvent = "1"
	}
	n.Serve(context.Background(), r, out)
	return out
}

// beginStreams begins some streams at each daemon and returns what their callers got, by attempt.
func (f *testFleet) beginStreams(each int) map[string]string {
	begun := map[string]string{}
	for i, n := range f.nodes {
		for j := range each {
			id := fmt.Sprintf("first-%d-%d", i, j)
			got := stream(n, id, "")
			assert.Assert(f.t, got.refusal == nil, "%+v", got.refusal)
			_, begun[id], _ = strings.Cut(got.text, "\n\n") // without the first event
		}
	}
	return begun
}

// Guards against streams refused after a kill of all daemons since two versions serve.
func TestStreamsGoOnAtTheirVersionsAfterAllDaemonsWereKilled(t *testing.T) {
	f, _ := servedFleet(t, 3, "1")
	f.register("e2", f.startEngine("v2"))
	f.until("both versions are listed", func(n *Node) bool { all, _ := n.endpoints.list(); return len(all) == 2 })
	begun := f.beginStreams(8)
	f.awaitOriginsStored(len(begun))
	f.killAll()
	f.startAgain(3)
	for id, text := range begun {
		got := stream(f.nodes[1], "again-"+id, id)
		assert.Equal(t, got.text, text, "%s: %+v", id, got.refusal)
	}
}

// Guards against streams that go on at a version that didn't begin them, or that are refused though
// their origins were stored, where other things fail beside the kill of all daemons.
func TestStreamsOfTwoVersionsThroughKillsAndFailures(t *testing.T) {
	for _, test := range []struct {
		name    string
		killed  func(f *testFleet) // while no daemon runs
		goesOn  bool               // whether the streams go on
		restart func(f *testFleet)
	}{
		{name: "another version registers during the kill", goesOn: true, killed: func(f *testFleet) { f.register("e3", f.startEngine("v3")) }},
		{name: "the store came back from an older copy", killed: func(f *testFleet) { f.store.restore(f.store.snapshot()) }},
		{name: "records of an earlier release", killed: func(f *testFleet) {
			for i := range 3 {
				f.store.remove(streamsKind, fmt.Sprintf("i%d", i))
			}
		}},
		{name: "records that can't be decoded", killed: func(f *testFleet) {
			for i := range 3 {
				_, err := f.store.Replace(f.t.Context(), streamsKind, fmt.Sprintf("i%d", i), 0, []byte(`{"at":7}`))
				assert.NilError(f.t, err)
			}
		}},
		{name: "killed twice", goesOn: true, restart: func(f *testFleet) {
			f.startAgain(3)
			f.awaitReady()
			f.until("the origins are restored", func(n *Node) bool { return n.origins.ownChanges() > 0 })
			f.killAll()
			f.startAgain(3)
		}},
		{name: "the store doesn't answer at the start", goesOn: true, restart: func(f *testFleet) {
			f.store.setDown(true)
			f.startAgain(3)
			f.until("two reads have failed", func(n *Node) bool { return time.Since(n.started) > 2*minRestoreBackoff })
			f.store.setDown(false)
			f.until("the origins are restored", func(n *Node) bool { return n.origins.ownChanges() > 0 })
			f.awaitReady()
		}},
		{name: "taken up twice", goesOn: true, restart: func(f *testFleet) {
			f.startAgain(3)
			assert.Assert(f.t, stream(f.nodes[2], "again-before", "first-0-0").refusal == nil)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f, _ := servedFleet(t, 3, "1")
			f.register("e2", f.startEngine("v2"))
			f.until("both versions are listed", func(n *Node) bool { all, _ := n.endpoints.list(); return len(all) == 2 })
			begun := f.beginStreams(4)
			f.awaitOriginsStored(len(begun))
			f.killAll()
			if test.killed != nil {
				test.killed(f)
			}
			if test.restart == nil {
				f.startAgain(3)
			} else {
				test.restart(f)
			}
			for id, text := range begun {
				got := stream(f.nodes[1], "again-"+id, id)
				if test.goesOn {
					assert.Equal(t, got.text, text, "%s: %+v", id, got.refusal)
				} else {
					assert.Assert(t, got.refusal != nil && got.refusal.Reason == relay.UnknownVersion, "%+v, %q", got.refusal, got.text)
				}
			}
		})
	}
}

// Guards against origins that are replaced before they have been restored, and against objects of
// instances that are gone staying in the store.
func TestStoredOriginsStayUntilTheyAreRestored(t *testing.T) {
	f, _ := servedFleet(t, 1, "1")
	f.register("e2", f.startEngine("v2"))
	f.until("both versions are listed", func(n *Node) bool { all, _ := n.endpoints.list(); return len(all) == 2 })
	begun := f.beginStreams(4)
	f.awaitOriginsStored(len(begun))
	f.killAll()
	unreadable := &unreadableOrigins{memoryStore: f.store}
	unreadable.down.Store(true)
	n := f.addWith(unreadable, func(n *Node) { n.settings.Daemon.FirstStart = false })
	f.awaitReady()
	f.until("the list is trusted", func(n *Node) bool { return time.Now().Before(n.origins.TrustedUntil("")) })
	assert.Assert(t, stream(n, "first-later", "").refusal == nil) // it ends, and leaves the record
	n.origins.Record(origin.KeyOf("w", "unfinished"), origin.Origin{Service: "s", Version: "v1"})
	assert.Equal(t, n.origins.count(), 2)
	f.until("a write would be due", func(n *Node) bool { return n.origins.needsStreams() && time.Since(n.started) > 2*time.Second })
	assert.Equal(t, f.originsStored(), len(begun))
	unreadable.down.Store(false)
	f.until("the origins are restored", func(n *Node) bool { return n.origins.count() == len(begun)+2 })
	f.awaitOriginsStored(len(begun) + 1)

	n.sweepStreams(t.Context())
	assert.Equal(t, f.originsStored(), len(begun)+1)
	old, err := json.Marshal(origin.NewStreams(n.clock.Now().Add(-sweepInterval-time.Second), 0, nil))
	assert.NilError(t, err)
	_, err = f.store.Create(t.Context(), streamsKind, "gone", old)
	assert.NilError(t, err)
	n.sweepStreams(t.Context())
	_, err = f.store.Get(t.Context(), streamsKind, "gone")
	assert.ErrorIs(t, err, objects.ErrNotFound)
}

// unreadableOrigins is a store whose stored origins can't be read for a time.
type unreadableOrigins struct {
	*memoryStore
	down atomic.Bool
}

func (s *unreadableOrigins) Get(ctx context.Context, kind, name string) (objects.Object, error) {
	if kind == streamsKind && s.down.Load() {
		return objects.Object{}, errDown
	}
	return s.memoryStore.Get(ctx, kind, name)
}

// Guards against streams of a large fleet that no daemon stores, and revocations that are lost on
// the way to the one that does.
func TestDaemonStoresTheOriginsOfOthers(t *testing.T) {
	f, _ := servedFleet(t, 2, "1")
	f.register("e2", f.startEngine("v2"))
	f.until("both versions are listed", func(n *Node) bool { all, _ := n.endpoints.list(); return len(all) == 2 })
	n, writer := f.nodes[0], f.nodes[1]
	before, from := origin.Key(1), origin.Origin{Service: "s", Version: "v1"}
	n.origins.Record(before, from)
	newStreamsRecord(n).handOver(t.Context(), writer.settings.Listen.Peers)
	n.origins.Record(2, from)
	n.origins.Revoke(3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		s, err := stored[origin.Streams](f.store.Get(t.Context(), streamsKind, "i1"))
		if err == nil && s.Len() == 3 && len(s.Unknown) == 8 {
			return poll.Success()
		}
		return poll.Continue("stored by the writer: %+v, %v", s, err)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(10*time.Millisecond))
}
