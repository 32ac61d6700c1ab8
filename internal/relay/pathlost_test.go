package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// tcpEndpoint answers requests on sockets, without a length.
type tcpEndpoint struct {
	listener net.Listener
	accepted chan struct{} // a value for each connection

	mu    sync.Mutex
	conns []net.Conn
	last  func() // called before the end of each answer
}

func newTCPEndpoint(t *testing.T) *tcpEndpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &tcpEndpoint{listener: l, accepted: make(chan struct{}, 100), last: func() {}}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, c)
			e.mu.Unlock()
			e.accepted <- struct{}{}
			serving.Go(func() { e.serve(c) })
		}
	})
	t.Cleanup(func() {
		e.crash()
		serving.Wait()
	})
	return e
}

func (e *tcpEndpoint) serve(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, withoutLength(200, twoEvents))
	e.mu.Lock()
	last := e.last
	e.mu.Unlock()
	last()
}

// beforeEnd sets what is called before the end of each answer.
func (e *tcpEndpoint) beforeEnd(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = f
}

// refuse refuses new connections; the open ones live on.
func (e *tcpEndpoint) refuse() { _ = e.listener.Close() }

// crash ends all connections, as the end of a process does.
func (e *tcpEndpoint) crash() {
	e.refuse()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		_ = c.Close()
	}
}

// pool returns a pool whose connections lead to the endpoint.
func (e *tcpEndpoint) pool() *upstream.Pool {
	return upstream.NewPool(4, func(ctx context.Context, _ string) (net.Conn, error) {
		return upstream.DialTCP(ctx, e.listener.Addr().String())
	})
}

// newPathFixture returns a relay in front of an endpoint to which it has a spare connection.
func newPathFixture(t *testing.T) (*fixture, *tcpEndpoint) {
	e := newTCPEndpoint(t)
	s := newFixture(t, testRoutes(), &engine{})
	s.relay.pool = e.pool()
	e.beforeEnd(func() {
		<-e.accepted // that of the answer
		<-e.accepted // the spare
	})
	got := s.send(t.Context(), "/once/1")
	assert.Assert(t, got.ended && !got.aborted)
	return s, e
}

// Guards against whole answers without a length that count as cut off while their endpoint's address refuses connections.
func TestAnswerIsWholeWhileNewConnectionsAreRefused(t *testing.T) {
	for _, path := range []string{"/order/1", "/lookup/1", "/once/1", "/stream/1"} {
		s, e := newPathFixture(t)
		e.beforeEnd(e.refuse)
		got := s.send(t.Context(), path)
		assert.Assert(t, got.ended && !got.aborted, path)
		assert.Equal(t, got.body.String(), twoEvents, path)
		assert.Equal(t, len(s.recorder.cuts), 0, path)
	}
}

// Guards against a crash that looks like the end of an answer without a length, since the path may be lost too.
func TestAnswerIsBrokenWhereAllConnectionsEndWithIt(t *testing.T) {
	for _, path := range []string{"/order/1", "/lookup/1", "/once/1", "/stream/1"} {
		s, e := newPathFixture(t)
		e.beforeEnd(e.crash)
		got := s.send(t.Context(), path)
		assert.Assert(t, !got.ended, path)
		assert.Equal(t, len(s.recorder.cuts), 1, path)
	}
}

// Guards against a cut answer that looks whole since another run of its endpoint listens at the address.
func TestAnswerIsBrokenWhereAnotherRunHasTheAddress(t *testing.T) {
	old := roster.Endpoint{ID: "e0", Service: "s", Address: "e0", Slots: 8, DataCentre: "a", StartedAt: time.Unix(100, 0)}
	for _, path := range []string{"/order/1", "/lookup/1", "/once/1", "/stream/1"} {
		e := newTCPEndpoint(t)
		s := newFixture(t, testRoutes(), &engine{})
		s.relay.pool = e.pool()
		s.state.SetEndpoints(time.Now(), []roster.Endpoint{old})
		e.beforeEnd(func() {
			later := old
			later.ID, later.StartedAt = "e1", old.StartedAt.Add(time.Second)
			s.state.SetEndpoints(time.Now(), []roster.Endpoint{later, old})
			e.beforeEnd(func() {})
		})
		got := s.send(t.Context(), path)
		assert.Equal(t, len(s.recorder.cuts), 1, path)
		if path == "/order/1" || path == "/once/1" {
			assert.Assert(t, !got.ended, path)
		}
	}
}

// Guards against whole answers that count as cut off since the entry of an earlier run is still listed.
func TestAnswerIsWholeBesideTheEntryOfAnEarlierRun(t *testing.T) {
	e := newTCPEndpoint(t)
	s := newFixture(t, testRoutes(), &engine{})
	s.relay.pool = e.pool()
	own := roster.Endpoint{ID: "e1", Service: "s", Address: "e0", Slots: 8, DataCentre: "a", StartedAt: time.Unix(100, 0)}
	earlier := roster.Endpoint{ID: "e0", Service: "s", Address: "e0", Slots: 8, DataCentre: "a", StartedAt: time.Unix(99, 0), Draining: true}
	s.state.SetEndpoints(time.Now(), []roster.Endpoint{own, earlier})
	got := s.send(t.Context(), "/once/1")
	assert.Assert(t, got.ended && !got.aborted)
	assert.Equal(t, len(s.recorder.cuts), 0)
}
