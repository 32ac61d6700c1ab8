package node

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// crashingBody is a request body that crashes the endpoint that begins to run it.
const crashingBody = "crash"

// closingBody is a request body for which an endpoint closes the connection.
const closingBody = "close"

// fragileEndpoints are endpoints that end when they receive crashingBody and don't
// restart. They answer anything else.
type fragileEndpoints struct {
	mu    sync.Mutex
	conns map[net.Listener][]net.Conn
	// closed counts the connections that a listener's endpoint has closed by itself.
	closed  map[net.Listener]int
	crashed atomic.Int64
}

// addFragile adds n of them to a fleet's store, the first in place of the endpoint
// that is there.
func (f *testFleet) addFragile(n int) *fragileEndpoints {
	f.t.Helper()
	out := &fragileEndpoints{conns: map[net.Listener][]net.Conn{}, closed: map[net.Listener]int{}}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(f.t, err)
		f.t.Cleanup(func() { out.end(l) })
		go out.serve(l)
		spec, err := json.Marshal(l.Addr().String())
		assert.NilError(f.t, err)
		name := "e" + strconv.Itoa(i+1)
		if i == 0 {
			_, err = f.store.Replace(f.t.Context(), "endpoints", name, 0, spec)
		} else {
			_, err = f.store.Create(f.t.Context(), "endpoints", name, spec)
		}
		assert.NilError(f.t, err)
	}
	return out
}

func (e *fragileEndpoints) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[l] = append(e.conns[l], c)
		e.mu.Unlock()
		go e.handle(l, c)
	}
}

func (e *fragileEndpoints) handle(l net.Listener, c net.Conn) {
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if string(body) == crashingBody {
			e.crashed.Add(1)
			e.end(l)
			return
		}
		if string(body) == closingBody {
			e.mu.Lock()
			e.closed[l]++
			e.mu.Unlock()
			_ = c.Close()
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	}
}

// end ends an endpoint: first its listener, so that no new connection succeeds after
// the others have been closed.
func (e *fragileEndpoints) end(l net.Listener) {
	_ = l.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns[l] {
		_ = c.Close()
	}
}

// redialled reports whether each endpoint that has closed a connection got
// another one after it.
func (e *fragileEndpoints) redialled() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for l, n := range e.closed {
		if len(e.conns[l]) <= n {
			return false
		}
	}
	return true
}

func sendBody(n *Node, id, body string) *recordingSink {
	out := &recordingSink{}
	now := time.Now()
	n.Serve(context.Background(), &relay.Request{
		ID: id, Method: "POST", Target: "/x", Path: "/x", Host: "h", Key: "key", Body: []byte(body),
		Received: now, Deadline: now.Add(time.Minute),
	}, out)
	return out
}

// A request crashes each endpoint that begins to run it, which also breaks all other
// streams of that endpoint. Its caller gets the verdict may-have-run and sends it again,
// as another request, to any daemon, and one more endpoint crashes. The bound on attempts
// covers a single request of the caller, so that crashes must be counted by the
// request's content and over all daemons: one such request has ended 39 endpoints in a
// day through nine daemons, none of which saw more than five of the crashes.
func TestRequestThatCrashesEndpointsIsHeld(t *testing.T) {
	const endpoints, allowed = 12, 6 // 3 crashes until the request is held, and 3 retries
	f := newFleet(t, 0)
	e := f.addFragile(endpoints)
	log := &logtest.Hook{}
	n := f.addWith(f.store, func(n *Node) { n.log.AddHook(log) })
	f.until("ready", func(n *Node) bool { all, _ := n.endpoints.list(); return n.Ready() && len(all) == endpoints })
	for i := range endpoints {
		sendBody(n, "try"+strconv.Itoa(i), crashingBody)
		awaitCrashLogs(t, log, int(e.crashed.Load()))
	}
	assert.Assert(t, e.crashed.Load() <= allowed, "%d endpoints ended under one request", e.crashed.Load())
	out := sendBody(n, "once more", crashingBody)
	assert.Equal(t, out.refusal.Reason, relay.Quarantined)
	assert.Equal(t, out.refusal.Verdict, verdict.NotRun)
	assert.Assert(t, out.refusal.RetryAfter > 0)
	assert.Equal(t, sendBody(n, "other", "innocent").body, "done")
}

// The same request arrives at another daemon each time, and again after all daemons
// were killed at once. All daemons must have the crashes that one has seen, and so
// must a daemon that starts again.
func TestRequestIsHeldByAllDaemonsAndAfterARestart(t *testing.T) {
	const endpoints = 6
	f := newFleet(t, 0)
	e := f.addFragile(endpoints)
	for range 3 {
		f.add()
	}
	f.awaitReady()
	for i := range 3 {
		sendBody(f.nodes[i], "try"+strconv.Itoa(i), crashingBody)
		f.until("all daemons have the crash", func(n *Node) bool { return n.crashes.table.CrashCount() == i+1 })
	}
	for _, n := range f.nodes {
		assert.Equal(t, sendBody(n, "again", crashingBody).refusal.Reason, relay.Quarantined)
	}
	f.awaitStoredCrashes(3)
	f.stop()
	f.nodes, f.cancel, f.done = nil, nil, nil
	n := f.addWith(f.store, func(n *Node) { n.settings.Daemon.FirstStart = false })
	f.until("the held request is restored", func(n *Node) bool { return n.crashes.table.HeldCount() == 1 })
	assert.Equal(t, sendBody(n, "after all", crashingBody).refusal.Reason, relay.Quarantined)
	assert.Equal(t, e.crashed.Load(), int64(3))
}

// A daemon is partitioned from the others, but not from the store, and receives a
// request that the others hold. After one more crash it must read what the others have
// stored.
func TestPartitionedDaemonReadsHeldRequestsFromTheStore(t *testing.T) {
	const endpoints = 8
	f := newFleet(t, 0)
	e := f.addFragile(endpoints)
	f.add()
	f.awaitHolder()
	for i := range 3 {
		sendBody(f.nodes[0], "try"+strconv.Itoa(i), crashingBody)
		f.until("the crash is counted", func(n *Node) bool { return n.crashes.table.CrashCount() == i+1 })
	}
	f.awaitStoredCrashes(3)
	alone := f.addWith(f.store, func(n *Node) { n.extraSeeds = nil })
	f.until("ready", func(n *Node) bool { all, _ := n.endpoints.list(); return n.Ready() && len(all) == endpoints })
	sendBody(alone, "there", crashingBody)
	f.until("it is held", func(n *Node) bool { return n.crashes.table.HeldCount() == 1 })
	assert.Equal(t, sendBody(alone, "again", crashingBody).refusal.Reason, relay.Quarantined)
	assert.Equal(t, e.crashed.Load(), int64(4))
	assert.Equal(t, len(alone.members.serving()), 1)
}

// awaitStoredCrashes waits until that many crashes are in the store.
func (f *testFleet) awaitStoredCrashes(crashes int) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		kept, err := stored[limitsCheckpoint](f.store.Get(f.t.Context(), limitsKind, limitsName))
		if err != nil || len(kept.Crashes) < crashes {
			return poll.Continue("not stored yet")
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
}

// Endpoints close connections on which requests are running, but go on listening: they
// have not crashed.
func TestClosedConnectionIsNotACrash(t *testing.T) {
	f := newFleet(t, 0)
	e := f.addFragile(3)
	n := f.add()
	f.until("ready", func(n *Node) bool { all, _ := n.endpoints.list(); return n.Ready() && len(all) == 3 })
	for range 3 {
		assert.Equal(t, sendBody(n, "closed", closingBody).refusal.Reason, relay.Broken)
	}
	f.until("all endpoints were dialled again", func(*Node) bool { return e.redialled() })
	assert.Equal(t, n.crashes.table.CrashCount(), 0)
	assert.Equal(t, e.crashed.Load(), int64(0))
}

// awaitCrashLogs waits until the ends of n endpoints are logged.
func awaitCrashLogs(t *testing.T, log *logtest.Hook, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		logged := 0
		for _, e := range log.AllEntries() {
			if e.Level == logrus.WarnLevel && strings.HasPrefix(e.Message, "endpoint ended") {
				logged++
			}
		}
		if logged < n {
			return poll.Continue("%d of %d ends logged", logged, n)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}
