package node

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
)

// streamsStored returns the number of daemons that have stored the origins of their streams.
func (f *testFleet) streamsStored() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return len(f.store.objects["origins"])
}

// awaitStreamsStored waits until some daemons have stored the origins of their streams.
func (f *testFleet) awaitStreamsStored(daemons int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		if f.streamsStored() >= daemons {
			return poll.Success()
		}
		return poll.Continue("%d of %d daemons have stored origins", f.streamsStored(), daemons)
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
	f.awaitStreamsStored(3)
	f.killAll()
	f.startAgain(3)
	for id, text := range begun {
		got := stream(f.nodes[1], "again-"+id, id)
		assert.Equal(t, got.text, text, "%s: %+v", id, got.refusal)
	}
}
