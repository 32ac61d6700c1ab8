package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/connections"
	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/earlyanswer"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/forward"
	"github.com/cyclamenbeam/cyclamenbeam/internal/httpserver"
	"github.com/cyclamenbeam/cyclamenbeam/internal/memlimit"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/retry"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/testport"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// protocol is that of the test's engines.
type protocol struct{}

func (protocol) Header(r *relay.Request, a *relay.Attempt) http.Header {
	h := r.Header.Clone()
	h.Set("Id", r.ID)
	h.Set("Workspace", string(a.Workspace))
	h.Set("After", a.LastEvent)
	h.Set("Left", fmt.Sprint(a.TimeLeft.Milliseconds()))
	return h
}

func (protocol) Owns(*relay.Request) func(http.Header) upstream.Ownership {
	return func(http.Header) upstream.Ownership { return upstream.ThisRequest }
}

// InvalidKind counts answers with an encoding as invalid.
func (protocol) InvalidKind(_ int, h http.Header) string {
	if h.Get("Encoding") != "" {
		return "encoded"
	}
	return ""
}

func (protocol) EventFields() []string { return nil }

func (protocol) Classify(status int, h http.Header) relay.Class {
	switch {
	case h.Get("Not-Run") != "":
		return relay.Refused
	case status == http.StatusOK:
		return relay.Success
	}
	return relay.Failure
}

func (protocol) Stated(_ int, h http.Header) backpressure.Stated {
	return backpressure.Stated{Leaving: h.Get("Leaves") != ""}
}

func (protocol) Answer(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range [...]string{"Content-Length", "Transfer-Encoding", "Connection"} {
		out.Del(name)
	}
	return out
}

// observer counts the requests that engines began to run, and records reports of invalid answers.
type observer struct {
	begun   atomic.Int64
	mu      sync.Mutex
	invalid []relay.InvalidAnswer
}

func (o *observer) InvalidAnswer(a *relay.InvalidAnswer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.invalid = append(o.invalid, *a)
}

func (o *observer) reports() []relay.InvalidAnswer {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.invalid)
}

func (o *observer) Began(fleet.WorkspaceID, time.Time)                { o.begun.Add(1) }
func (o *observer) Cut(ends.Disconnect)                               {}
func (o *observer) RateLimited(fleet.EndpointID, backpressure.Limit)  {}
func (o *observer) Resting(fleet.EndpointID, time.Duration)           {}
func (o *observer) Leaving(*roster.Endpoint)                          {}
func (o *observer) RejectionsLimited(string, backpressure.Limit)      {}
func (o *observer) Ended(*relay.Outcome)                              {}
func (o *observer) HeldFor(func() *quarantine.Identity) time.Duration { return 0 }
func (o *observer) Served(quarantine.Key)                             {}
func (o *observer) Holds() uint64                                     { return 0 }
func (o *observer) Responded(*roster.Endpoint, time.Time)             {}
func (o *observer) Ran(time.Time, func() *quarantine.Identity)        {}

// forwarder sends all requests of a cut-off daemon to the given addresses, in their order.
type forwarder struct {
	forward.Codec
	pool      *upstream.Pool
	addresses []string

	mu       sync.Mutex
	answered []bool // by request, in the order of their ends
}

func (f *forwarder) Pool() *upstream.Pool     { return f.pool }
func (f *forwarder) FoundOpen(string, string) {}
func (f *forwarder) Done(_ string, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered = append(f.answered, answered)
}
func (f *forwarder) Target(_ string, _ int, tried []string, _ bool) (string, bool) {
	for _, a := range f.addresses {
		if !slices.Contains(tried, a) {
			return a, false
		}
	}
	return "", false
}

// hopDaemon is one daemon.
type hopDaemon struct {
	observer
	state   *relay.State
	relay   *relay.Relay
	address string // for forwarded requests
	server  *forward.Server
}

const maxBytes = 1 << 20

// newHopDaemon starts a daemon before an engine; without one, it can reach none.
func newHopDaemon(t *testing.T, engine string, forwardTo ...string) *hopDaemon {
	t.Helper()
	d := &hopDaemon{}
	d.state = relay.NewState("a", quota.New(true, quota.Tolerance{}), retry.NewBudgets(retry.Config{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}, time.Now(), true), rand.New(rand.NewPCG(1, 2)))
	d.state.SetRetryDaemons(quota.DefaultDaemons, 0)
	var routes []route.Route
	for _, r := range []route.Route{
		{Name: "order", Prefix: "/order/", Kind: route.NonIdempotent, MaxAttempts: 3},
		{Name: "lookup", Prefix: "/lookup/", Kind: route.Idempotent, MaxAttempts: 2},
		{Name: "stream", Prefix: "/stream/", Kind: route.Streaming, MaxAttempts: 2, Resumable: true},
	} {
		r.Host, r.Backends, r.Timeout, r.Target = "h", []route.Backend{{Service: "s", Weight: 1}}, 10*time.Second, 10*time.Second
		routes = append(routes, r)
	}
	d.state.Configure(time.Now(), route.New(route.Table{
		Version: 1, Routes: routes, Services: []route.Service{{Name: "s"}},
		Workspaces: []route.Workspace{{Name: "w", Keys: []string{"secret"}, Rate: 1e-6, Burst: 1000, CountsTokens: true, PlainTokens: 10}},
	}))
	dial := func(context.Context, string) (net.Conn, error) { return nil, errors.New("no path") }
	if engine != "" {
		dial = upstream.DialTCP
	}
	d.state.SetEndpoints(time.Now(), []roster.Endpoint{{ID: "e1", Service: "s", Address: engine, Slots: 8, DataCentre: "a"}})
	d.relay = relay.New(d.state, upstream.NewPool(8, dial), protocol{}, d, d)
	if len(forwardTo) > 0 {
		d.relay.SetForwarder(&forwarder{pool: upstream.NewPool(8, upstream.DialTCP), addresses: forwardTo})
	}
	d.address = testport.Reserve(t)
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	var err error
	d.server, err = forward.Open(d, d.address, relay.NewBodies(memlimit.New(maxBytes)), newGuard(), 100, quiet.WithField("part", "forward"))
	assert.NilError(t, err)
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = d.server.Close(ctx)
	})
	return d
}

// ServeForwarded implements forward.Handler.
func (d *hopDaemon) ServeForwarded(ctx context.Context, r *relay.ForwardedRequest, s relay.Sink) {
	d.relay.ServeForwarded(ctx, r, s)
}

// hopSink records what a caller gets.
type hopSink struct {
	mu      sync.Mutex
	status  int
	header  http.Header
	pieces  []string
	refusal *relay.Refusal
	ended   bool
	aborted bool

	deliveries *delivery.Log
}

func (s *hopSink) Whole(status int, h http.Header, body []byte) {
	s.status, s.header, s.pieces, s.ended = status, h, []string{string(body)}, true
}
func (s *hopSink) Refuse(r relay.Refusal)          { s.refusal = &r }
func (s *hopSink) Begin(status int, h http.Header) { s.status, s.header = status, h }
func (s *hopSink) End()                            { s.ended = true }
func (s *hopSink) Abort()                          { s.aborted = true }
func (s *hopSink) Deliveries() *delivery.Log {
	if s.deliveries == nil {
		s.deliveries = delivery.NewLog()
	}
	return s.deliveries
}
func (s *hopSink) WriteBody(p []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pieces = append(s.pieces, string(p))
	return nil
}

func (s *hopSink) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return strings.Join(s.pieces, "")
}

func (d *hopDaemon) send(ctx context.Context, path string, body string) *hopSink {
	out := &hopSink{}
	d.sendTo(ctx, path, body, out)
	return out
}

func (d *hopDaemon) sendTo(ctx context.Context, path, body string, out *hopSink) {
	now := time.Now()
	d.relay.Serve(ctx, &relay.Request{
		ID: "r1", Method: "POST", Target: path + "?a=%20b", Path: path, Host: "h", Key: "secret", Body: []byte(body),
		Header: http.Header{"X-Any": {"kept"}, "Cyclamenbeam-Forward": {"forged"}}, Received: now, Deadline: now.Add(5 * time.Second),
	}, out)
}

// hopEngine is an engine that counts its runs.
type hopEngine struct {
	*httptest.Server
	runs atomic.Int64
}

func newHopEngine(t *testing.T, h http.HandlerFunc) *hopEngine {
	e := &hopEngine{}
	e.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.runs.Add(1)
		h(w, r)
	}))
	t.Cleanup(e.Close)
	return e
}

// newGuard returns a guard with ample limits.
func newGuard() *httpserver.Guard {
	times := connections.Times{Head: time.Minute, Idle: time.Minute}
	return httpserver.NewGuard(1<<20, func() connections.Times { return times }, logrus.NewEntry(logrus.New()))
}

func (e *hopEngine) address() string { return strings.TrimPrefix(e.URL, "http://") }

func TestRequestAndAnswerCrossTheHopUnchanged(t *testing.T) {
	var got *http.Request
	var body []byte
	e := newHopEngine(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Clone(context.Background())
		body, _ = io.ReadAll(r.Body)
		w.Header().Set("Signature", "of-the-engine")
		w.Header().Set("Cyclamenbeam-Forward-Refusal", "forged")
		_, _ = io.WriteString(w, "answer")
	})
	b := newHopDaemon(t, e.address())
	a := newHopDaemon(t, "", b.address)
	out := a.send(t.Context(), "/order/1", "body")
	assert.Assert(t, out.refusal == nil, "%+v", out.refusal)
	assert.Equal(t, out.status, 200)
	assert.Equal(t, out.text(), "answer")
	assert.Equal(t, out.header.Get("Signature"), "of-the-engine")
	for name := range out.header {
		assert.Assert(t, !strings.HasPrefix(name, "Cyclamenbeam-Forward"), name)
	}
	assert.Equal(t, got.RequestURI, "/order/1?a=%20b")
	assert.Equal(t, string(body), "body")
	assert.Equal(t, got.Host, "h")
	assert.Equal(t, got.Header.Get("X-Any"), "kept")
	assert.Equal(t, got.Header.Get("Workspace"), "w")
	assert.Equal(t, got.Header.Get("Cyclamenbeam-Forward"), "")
	assert.Equal(t, got.Header.Get("Authorization"), "")
	for name, values := range got.Header {
		assert.Assert(t, !strings.Contains(strings.Join(values, ""), "secret"), name)
	}
	assert.Equal(t, e.runs.Load(), int64(1))
}

// Guards against usage and limits that are counted by both daemons, or by none.
func TestUsageAndLimitsAreCountedOnceOverTheHop(t *testing.T) {
	e := newHopEngine(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	b := newHopDaemon(t, e.address())
	a := newHopDaemon(t, "", b.address)
	for range 5 {
		assert.Equal(t, a.send(t.Context(), "/lookup/1", "").status, 200)
	}
	assert.Equal(t, a.begun.Load()+b.begun.Load(), int64(5))
	assert.Equal(t, a.state.OwnState(time.Now()).Spent["w"], 50.0)
	assert.Equal(t, b.state.OwnState(time.Now()).Spent["w"], 0.0)
}

// Guards against a request that may have run and is sent again, or is said not to have run.
func TestOrderThatMayHaveRunIsNotSentAgainOverTheHop(t *testing.T) {
	e := newHopEngine(t, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	b, other := newHopDaemon(t, e.address()), newHopDaemon(t, e.address())
	a := newHopDaemon(t, "", b.address, other.address)
	out := a.send(t.Context(), "/order/1", "")
	assert.Equal(t, out.refusal.Verdict, verdict.MayHaveRun)
	assert.Equal(t, e.runs.Load(), int64(1))
}

// refusingDaemon returns the address of a daemon that refuses each request as not run, with a header
// of its deliveries unless that is "none".
func refusingDaemon(t *testing.T, deliveries string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Cyclamenbeam-Forward-Id", "r1")
		w.Header().Set("Cyclamenbeam-Forward-Refusal", "shed")
		w.Header().Set("Cyclamenbeam-Verdict", "not-run")
		if deliveries != "none" {
			w.Header().Set("Cyclamenbeam-Forward-Deliveries", deliveries)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// Guards against a refusal of another daemon that doesn't follow from its deliveries, such as one of
// an earlier release.
func TestRefusalOfAnotherDaemonFollowsFromItsDeliveries(t *testing.T) {
	for deliveries, want := range map[string]verdict.Verdict{
		"":                             verdict.NotRun,
		"i-1 not-run endpoint 503":     verdict.NotRun,
		"none":                         verdict.MayHaveRun,
		"unreadable":                   verdict.MayHaveRun,
		"i-1 may-have-run no-answer 0": verdict.MayHaveRun,
		"i-1 not-run endpoint 503, i-2 not-run endpoint-unnamed 503": verdict.MayHaveRun,
	} {
		a := newHopDaemon(t, "", refusingDaemon(t, deliveries))
		out := a.send(t.Context(), "/order/1", "")
		assert.Equal(t, out.refusal.Verdict, want, "%q", deliveries)
	}
}

// Guards against an order that counts as not run by an answer that names no request.
func TestAnswerWithoutAnIDProvesNothing(t *testing.T) {
	for status := 200; status < 600; status++ {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		a := newHopDaemon(t, "", strings.TrimPrefix(s.URL, "http://"))
		assert.Equal(t, a.send(t.Context(), "/order/1", "").refusal.Verdict, verdict.MayHaveRun, "status %d", status)
		s.Close()
	}
}

// dyingDaemon returns the address of a daemon that ends whenever it has received a request.
func dyingDaemon(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Read(make([]byte, 1000))
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// Guards against a daemon that dies with a request on the way to it.
func TestDaemonThatDiesWithAnOrderLeavesItsVerdictOpen(t *testing.T) {
	a := newHopDaemon(t, "", dyingDaemon(t))
	out := a.send(t.Context(), "/order/1", "")
	assert.Equal(t, out.refusal.Verdict, verdict.MayHaveRun)
}

// Guards against daemons that are avoided because an engine behind them crashed.
func TestDaemonCountsAsAnsweringWhereItsEngineCrashes(t *testing.T) {
	e := newHopEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	})
	f := &forwarder{pool: upstream.NewPool(8, upstream.DialTCP), addresses: []string{newHopDaemon(t, e.address()).address}}
	a := newHopDaemon(t, "")
	a.relay.SetForwarder(f)
	out := a.send(t.Context(), "/stream/1", "")
	assert.Assert(t, out.aborted)
	assert.DeepEqual(t, f.answered, []bool{true})
}

// Guards against a daemon that stays in use though it ends before it answers.
func TestDaemonThatDiesDoesNotCountAsAnswering(t *testing.T) {
	f := &forwarder{pool: upstream.NewPool(8, upstream.DialTCP), addresses: []string{dyingDaemon(t)}}
	a := newHopDaemon(t, "")
	a.relay.SetForwarder(f)
	a.send(t.Context(), "/order/1", "")
	assert.DeepEqual(t, f.answered, []bool{false})
}

// Guards against an answer without a length over the hop, which daemons don't send, that passes as whole.
func TestAnswerWithoutALengthIsBrokenOverTheHop(t *testing.T) {
	for _, end := range []earlyanswer.End{earlyanswer.Reset, earlyanswer.ReadOn} {
		for _, path := range []string{"/order/1", "/lookup/1", "/stream/1"} {
			daemon := earlyanswer.Serve(t, func(*http.Request) (string, earlyanswer.End) {
				return "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n", end
			})
			out := newHopDaemon(t, "", daemon).send(t.Context(), path, strings.Repeat("x", maxBytes/2))
			assert.Assert(t, !out.ended, path)
		}
	}
}

// Guards against more runs of a request than its route allows, where both daemons repeat it.
func TestAttemptsAreBoundedOverTheHop(t *testing.T) {
	e := newHopEngine(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) })
	var addresses []string
	for range 3 {
		addresses = append(addresses, newHopDaemon(t, e.address()).address)
	}
	out := newHopDaemon(t, "", addresses...).send(t.Context(), "/lookup/1", "")
	assert.Equal(t, out.status, 500)
	assert.Equal(t, e.runs.Load(), int64(2))
}

// Guards against two daemons without a path that pass a request to and fro.
func TestRequestIsForwardedOnce(t *testing.T) {
	b := newHopDaemon(t, "")
	a := newHopDaemon(t, "", b.address)
	b.relay.SetForwarder(&forwarder{pool: upstream.NewPool(8, upstream.DialTCP), addresses: []string{a.address}})
	out := a.send(t.Context(), "/order/1", "")
	assert.Equal(t, out.refusal.Verdict, verdict.NotRun)
	assert.Equal(t, out.refusal.Reason, relay.NoEndpoint)
}

func TestNextDaemonIsTriedWhereOneIsGoneOrLeaves(t *testing.T) {
	e := newHopEngine(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	gone, leaving, b := newHopDaemon(t, e.address()), newHopDaemon(t, e.address()), newHopDaemon(t, e.address())
	assert.NilError(t, gone.server.Close(t.Context()))
	leaving.relay.Stop(time.Now().Add(-time.Hour), time.Now())
	a := newHopDaemon(t, "", gone.address, leaving.address, b.address)
	out := a.send(t.Context(), "/order/1", "")
	assert.Equal(t, out.status, 200)
	assert.Equal(t, e.runs.Load(), int64(1))
}

// Guards against requests of a daemon that has passed on an answer saying that its engine leaves.
func TestLeavingIsKnownToBothDaemonsOfAHop(t *testing.T) {
	for _, path := range []string{"/order/1", "/stream/1"} {
		e := newHopEngine(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Leaves", "1")
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\n")
		})
		b := newHopDaemon(t, e.address())
		a := newHopDaemon(t, "", b.address)
		out := a.send(t.Context(), path, "")
		assert.Equal(t, out.status, 200)
		assert.Equal(t, out.header.Get("Leaves"), "1")
		for _, d := range []*hopDaemon{a, b} {
			leaving := d.state.Leaving()
			assert.Equal(t, len(leaving), 1)
			assert.Equal(t, leaving[0].ID, fleet.EndpointID("e1"))
		}
		for name := range out.header {
			assert.Assert(t, !strings.HasPrefix(name, "Cyclamenbeam-Forward"), name)
		}
	}
}

// Guards against an engine that works on for a caller who has left.
func TestCallersLeavingCancelsOverTheHop(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	e := newHopEngine(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})
	b := newHopDaemon(t, e.address())
	a := newHopDaemon(t, "", b.address)
	ctx, leave := context.WithCancel(t.Context())
	go a.send(ctx, "/lookup/1", "")
	<-started
	leave()
	select {
	case <-cancelled:
	case <-time.After(10 * time.Second):
		t.Fatal("the engine still works on the request")
	}
}

// Guards against streams that are buffered on the way, or resumed with events lost or repeated.
func TestStreamCrossesTheHopEventByEvent(t *testing.T) {
	step := make(chan struct{})
	var runs atomic.Int64
	e := newHopEngine(t, func(w http.ResponseWriter, r *http.Request) {
		last := 0
		_, _ = fmt.Sscan(r.Header.Get("After"), &last)
		first := runs.Add(1) == 1
		for n := last + 1; n <= 4; n++ {
			if first && n == 3 {
				panic(http.ErrAbortHandler)
			}
			<-step
			fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			w.(http.Flusher).Flush()
		}
	})
	b, other := newHopDaemon(t, e.address()), newHopDaemon(t, e.address())
	a := newHopDaemon(t, "", b.address, other.address)
	out, done := &hopSink{}, make(chan struct{})
	go func() {
		defer close(done)
		a.sendTo(t.Context(), "/stream/1", "", out)
	}()
	want := ""
	for n := 1; n <= 4; n++ {
		step <- struct{}{}
		want += fmt.Sprintf("id: %d\ndata: x\n\n", n)
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := out.text(); got != want {
				return poll.Continue("%q", got)
			}
			return poll.Success()
		}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	}
	<-done
	assert.Assert(t, out.ended && !out.aborted)
	assert.Equal(t, runs.Load(), int64(2))
}

// Guards against a stream that begins at one version and goes on at another behind the hop.
func TestStreamKeepsItsVersionOverTheHop(t *testing.T) {
	versioned := func(version string, breakOff bool) *hopEngine {
		return newHopEngine(t, func(w http.ResponseWriter, r *http.Request) {
			last := 0
			_, _ = fmt.Sscan(r.Header.Get("After"), &last)
			fmt.Fprintf(w, "id: %d\ndata: %s\n\n", last+1, version)
			w.(http.Flusher).Flush()
			if breakOff {
				panic(http.ErrAbortHandler)
			}
		})
	}
	first, other, same := versioned("v1", true), versioned("v2", false), versioned("v1", false)
	list := func(d *hopDaemon, engines map[string]*hopEngine) {
		var all []roster.Endpoint
		for id, e := range engines {
			version, _, _ := strings.Cut(id, "-")
			all = append(all, roster.Endpoint{ID: fleet.EndpointID(id), Service: "s", Address: e.address(), Slots: 8, DataCentre: "a", Version: version})
		}
		d.state.SetEndpoints(time.Now(), all)
	}
	b, c := newHopDaemon(t, first.address()), newHopDaemon(t, first.address())
	a := newHopDaemon(t, "", b.address, c.address)
	list(b, map[string]*hopEngine{"v1-first": first})
	list(c, map[string]*hopEngine{"v2-other": other})
	out := a.send(t.Context(), "/stream/1", "")
	assert.Equal(t, out.text(), "id: 1\ndata: v1\n\n")
	assert.Assert(t, out.aborted)
	assert.Equal(t, other.runs.Load(), int64(0))
	list(c, map[string]*hopEngine{"v2-other": other, "v1-same": same})
	out = a.send(t.Context(), "/stream/1", "")
	assert.Equal(t, out.text(), "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\n")
	assert.Assert(t, out.ended)
	assert.Equal(t, other.runs.Load(), int64(0))
}

// Guards against a stream that goes on though the daemon that forwarded it states no version.
func TestForwardedStreamWithoutItsVersionIsRefused(t *testing.T) {
	e := newHopEngine(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "id: 5\ndata: x\n\n") })
	b := newHopDaemon(t, e.address())
	out := &hopSink{}
	b.ServeForwarded(t.Context(), &relay.ForwardedRequest{
		Request: &relay.Request{ID: "r1", Method: "POST", Target: "/stream/1", Path: "/stream/1", Host: "h", LastEvent: "4"},
		Route:   route.Route{Name: "stream", Kind: route.Streaming, Resumable: true}, Service: "s", TimeLeft: time.Second,
	}, out)
	assert.Equal(t, out.refusal.Reason, relay.UnknownVersion)
	assert.Equal(t, out.refusal.Verdict, verdict.NotRun)
	assert.Equal(t, e.runs.Load(), int64(0))
}

// Guards against a daemon that runs out of memory by the bodies of others.
func TestBodiesAreBoundedInMemory(t *testing.T) {
	hold := make(chan struct{})
	e := newHopEngine(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-hold
		_, _ = io.WriteString(w, "answer")
	})
	b := newHopDaemon(t, e.address())
	a := newHopDaemon(t, "", b.address)
	body := strings.Repeat("x", 2*maxBytes/3)
	first := make(chan *hopSink)
	go func() { first <- a.send(t.Context(), "/order/1", body) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if e.runs.Load() == 0 {
			return poll.Continue("not running")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	second := a.send(t.Context(), "/order/1", body)
	assert.Equal(t, second.refusal.Verdict, verdict.NotRun)
	assert.Assert(t, second.refusal.RetryAfter > 0)
	close(hold)
	assert.Equal(t, (<-first).status, 200)
	assert.Equal(t, a.send(t.Context(), "/order/1", body).status, 200)
	assert.Equal(t, e.runs.Load(), int64(2))
}

// Guards against an answer that is joined from the runs at two daemons.
func TestLongAnswerIsNeverJoinedOverTheHop(t *testing.T) {
	long := strings.Repeat("x", 2<<20)
	var runs atomic.Int64
	e := newHopEngine(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, long)
		if runs.Add(1) == 1 {
			panic(http.ErrAbortHandler)
		}
	})
	a := newHopDaemon(t, "", newHopDaemon(t, e.address()).address, newHopDaemon(t, e.address()).address)
	out := a.send(t.Context(), "/lookup/1", "")
	assert.Assert(t, out.aborted && !out.ended)
	assert.Assert(t, len(out.text()) <= len(long))
	assert.Equal(t, runs.Load(), int64(1))
}
