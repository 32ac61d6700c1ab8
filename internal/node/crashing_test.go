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
)

// crashingBody ends an endpoint of these tests that begins to run it.
const crashingBody = "crash"

// frail are endpoints that end when they begin to run crashingBody and don't come
// back. They answer anything else.
type frail struct {
	mu    sync.Mutex
	conns map[net.Listener][]net.Conn
	ended atomic.Int64
}

// addFrail puts n of them into a fleet's store, the first in place of the endpoint
// that is there.
func (f *fleetOf) addFrail(n int) *frail {
	f.t.Helper()
	out := &frail{conns: map[net.Listener][]net.Conn{}}
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

func (e *frail) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[l] = append(e.conns[l], c)
		e.mu.Unlock()
		go e.talk(l, c)
	}
}

func (e *frail) talk(l net.Listener, c net.Conn) {
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
			e.ended.Add(1)
			e.end(l)
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone")
	}
}

// end ends an endpoint: its listener first, so that nobody finds it there after
// a connection has ended.
func (e *frail) end(l net.Listener) {
	_ = l.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns[l] {
		_ = c.Close()
	}
}

func sendBody(n *Node, id, body string) *sinkLog {
	out := &sinkLog{}
	now := time.Now()
	n.Serve(context.Background(), &relay.Request{
		ID: id, Method: "POST", Target: "/x", Path: "/x", Host: "h", Key: "key", Body: []byte(body),
		Received: now, Deadline: now.Add(time.Minute),
	}, out)
	return out
}

// Callers' streams break off by dozens, again and again. A request ends the
// endpoint that begins to run it; its caller is told that it may have run and
// sends it again, as another request. Each time it goes to one more endpoint,
// which ends, with all that runs there.
func TestRequestThatEndsItsEndpointsIsHeld(t *testing.T) {
	const endpoints, allowed = 12, 6 // three, and three retries
	f := newFleet(t, 0)
	e := f.addFrail(endpoints)
	log := &logtest.Hook{}
	n := f.addWith(f.store, func(n *Node) { n.log.AddHook(log) })
	f.until("ready", func(n *Node) bool { all, _ := n.endpoints.list(); return n.Ready() && len(all) == endpoints })
	for i := range endpoints {
		sendBody(n, "try"+strconv.Itoa(i), crashingBody)
		waitForEnds(t, log, int(e.ended.Load()))
	}
	assert.Assert(t, e.ended.Load() <= allowed, "%d endpoints ended under one request", e.ended.Load())
	assert.Equal(t, sendBody(n, "other", "innocent").body, "done")
}

// waitForEnds waits until the log tells of the ends of n endpoints.
func waitForEnds(t *testing.T, log *logtest.Hook, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		told := 0
		for _, e := range log.AllEntries() {
			if e.Level == logrus.WarnLevel && strings.HasPrefix(e.Message, "endpoint ended") {
				told++
			}
		}
		if told < n {
			return poll.Continue("%d of %d ends told", told, n)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(5*time.Millisecond))
}
