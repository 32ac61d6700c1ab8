package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ends"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quarantine"
	"github.com/cyclamenbeam/cyclamenbeam/internal/quota"
	"github.com/cyclamenbeam/cyclamenbeam/internal/retry"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
	"github.com/cyclamenbeam/cyclamenbeam/internal/verdict"
)

// plainProtocol identifies requests and endpoints by headers of its own.
type plainProtocol struct{}

func (plainProtocol) Header(r *Request, a *Attempt) http.Header {
	return http.Header{"Id": {r.ID}, "For": {string(a.Endpoint.ID)}, "After": {a.LastEvent}}
}

func (plainProtocol) Owns(r *Request) func(http.Header) upstream.Ownership {
	return func(h http.Header) upstream.Ownership {
		return upstream.OwnerOf(h["Id"], r.ID)
	}
}

func (plainProtocol) Stated(_ int, h http.Header) backpressure.Stated {
	return backpressure.Stated{RateLimit: backpressure.ParseLimit(h.Get("Rate-Limit")), Rest: backpressure.ParseRest(h.Get("Rest"))}
}

// InvalidKind counts answers with an encoding as invalid.
func (plainProtocol) InvalidKind(_ int, h http.Header) string {
	if h.Get("Encoding") != "" {
		return "encoded"
	}
	return ""
}

func (plainProtocol) EventFields() []string { return []string{"x-data-version"} }

func (plainProtocol) Classify(status int, _ http.Header) Class {
	switch {
	case status == http.StatusServiceUnavailable:
		return Refused
	case status == http.StatusMisdirectedRequest:
		return Misdirected
	case status < 300:
		return Success
	case status < 500:
		return Rejected
	}
	return Failure
}

func (plainProtocol) Answer(h http.Header) http.Header { return h.Clone() }

// recordingSink records what a caller gets.
type recordingSink struct {
	status  int
	body    strings.Builder
	refusal *Refusal
	ended   bool
	aborted bool

	deliveries *delivery.Log
}

func (s *recordingSink) Whole(status int, _ http.Header, body []byte) {
	s.status, s.ended = status, true
	s.body.Write(body)
}
func (s *recordingSink) Refuse(r Refusal)                { s.refusal = &r }
func (s *recordingSink) Begin(status int, _ http.Header) { s.status = status }
func (s *recordingSink) WriteBody(p []byte) error        { s.body.Write(p); return nil }
func (s *recordingSink) End()                            { s.ended = true }
func (s *recordingSink) Abort()                          { s.aborted = true }
func (s *recordingSink) Deliveries() *delivery.Log {
	if s.deliveries == nil {
		s.deliveries = delivery.NewLog()
	}
	return s.deliveries
}

// recorder records what the relay reports; it is its Observer and its Guard.
type recorder struct {
	mu     sync.Mutex
	begun  int
	cuts   []ends.Disconnect
	last   Outcome
	limits []float64
	held   map[quarantine.Key]time.Duration
	ran    []quarantine.Key
	// invalid are the kinds of invalid answers.
	invalid []string
}

func (r *recorder) HeldFor(id func() *quarantine.Identity) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held[id().Request]
}

func (r *recorder) Holds() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return uint64(len(r.held))
}

func (r *recorder) Served(quarantine.Key)                 {}
func (r *recorder) Responded(*roster.Endpoint, time.Time) {}

func (r *recorder) Ran(_ time.Time, id func() *quarantine.Identity) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran = append(r.ran, id().Request)
}

func (r *recorder) Began(fleet.WorkspaceID, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun++
}

func (r *recorder) Cut(c ends.Disconnect) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = append(r.cuts, c)
}

func (r *recorder) RateLimited(_ fleet.EndpointID, l backpressure.Limit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = append(r.limits, l.PerSecond)
}

func (r *recorder) Leaving(*roster.Endpoint)                {}
func (r *recorder) Resting(fleet.EndpointID, time.Duration) {}

func (r *recorder) RejectionsLimited(string, backpressure.Limit) {}

func (r *recorder) InvalidAnswer(a *InvalidAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.invalid = append(r.invalid, a.Kind)
}

func (r *recorder) Ended(o *Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.last = *o
}

// engine answers each request with what script returns for the number of earlier
// requests. An answer other than 2xx, one that contains "cut", or one without a length
// is followed by the end of the connection.
type engine struct {
	script func(n int, r *http.Request) string
	mu     sync.Mutex
	gone   bool // connections are refused
	// write writes an answer piece by piece, after which the connection ends; nil: script is used.
	write    func(w io.Writer)
	received []*http.Request
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		e.mu.Lock()
		n := len(e.received)
		e.received = append(e.received, req)
		e.mu.Unlock()
		if e.write != nil {
			e.write(c)
			return
		}
		answer := e.script(n, req)
		if req.Header.Get("Id") == "" { // an engine echoes an ID, and names none of its own
			answer = strings.Replace(answer, "Id: ID\r\n", "", 1)
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", req.Header.Get("Id")))
		delimited := strings.Contains(answer, "Content-Length") || strings.Contains(answer, "chunked") || !strings.Contains(answer, "\r\n\r\n")
		if !strings.HasPrefix(answer, "HTTP/1.1 2") || strings.Contains(answer, "cut") || !delimited {
			return
		}
	}
}

func (e *engine) runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.received)
}

// fixture is a relay in front of some engines.
type fixture struct {
	relay    *Relay
	state    *State
	recorder *recorder
	engines  []*engine
}

func newFixture(t *testing.T, routes []route.Route, engines ...*engine) *fixture {
	t.Helper()
	rng := rand.New(rand.NewPCG(1, 2))
	s := &fixture{recorder: &recorder{}, engines: engines}
	s.state = NewState("a", quota.New(true, quota.Tolerance{}), retry.NewBudgets(retry.Config{Window: 10 * time.Second, Ratio: 0.2, Slack: 50}, time.Now(), true), rng)
	s.state.SetRetryDaemons(quota.DefaultDaemons, 0)
	var all []roster.Endpoint
	for i := range engines {
		id := fmt.Sprint("e", i)
		all = append(all, roster.Endpoint{ID: fleet.EndpointID(id), Service: "s", Address: id, Slots: 8, DataCentre: "a"})
	}
	for i := range routes {
		routes[i].Host, routes[i].Backends = "h", []route.Backend{{Service: "s", Weight: 1}}
		if routes[i].Name != "bare" {
			routes[i].Timeout, routes[i].Target = time.Minute, time.Minute
		}
	}
	s.state.Configure(time.Now(), route.New(route.Table{
		Version: 1, Routes: routes, Services: []route.Service{{Name: "s"}},
		Workspaces: []route.Workspace{
			{Name: "w", Keys: []string{"key"}, Rate: 1000, Burst: 1000},
			{Name: "small", Keys: []string{"small"}, Rate: 1e-6, Burst: 3},
		},
	}))
	s.state.SetEndpoints(time.Now(), all)
	s.relay = New(s.state, upstream.NewPool(4, s.dial(t)), plainProtocol{}, s.recorder, s.recorder)
	return s
}

// dial connects to an engine by a pipe that is closed at the end of the test.
func (s *fixture) dial(t *testing.T) upstream.Dialer {
	return func(_ context.Context, address string) (net.Conn, error) {
		i, err := strconv.Atoi(strings.TrimPrefix(address, "e"))
		if err != nil {
			return nil, err
		}
		s.engines[i].mu.Lock()
		gone := s.engines[i].gone
		s.engines[i].mu.Unlock()
		if gone {
			return nil, syscall.ECONNREFUSED
		}
		here, there := net.Pipe()
		context.AfterFunc(t.Context(), func() { _ = there.Close() })
		go s.engines[i].serve(there)
		return here, nil
	}
}

func (s *fixture) send(ctx context.Context, path string) *recordingSink {
	out := &recordingSink{}
	now := time.Now()
	s.relay.Serve(ctx, &Request{
		ID: "r1", Method: "POST", Target: path, Path: path, Host: "h", Key: "key",
		Received: now, Deadline: now.Add(time.Minute),
	}, out)
	return out
}

func (s *fixture) runs() int {
	n := 0
	for _, e := range s.engines {
		n += e.runs()
	}
	return n
}

var (
	orderRoute        = route.Route{Name: "order", Prefix: "/order/", Kind: route.NonIdempotent, MaxAttempts: 3}
	lookupRoute       = route.Route{Name: "lookup", Prefix: "/lookup/", Kind: route.Idempotent, MaxAttempts: 2}
	streamRoute       = route.Route{Name: "stream", Prefix: "/stream/", Kind: route.Streaming, MaxAttempts: 2, Resumable: true}
	notResumableRoute = route.Route{Name: "once", Prefix: "/once/", Kind: route.Streaming, MaxAttempts: 2}
)

func testRoutes() []route.Route {
	return []route.Route{orderRoute, lookupRoute, streamRoute, notResumableRoute}
}

func response(status int, text string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\nContent-Length: %d\r\n\r\n%s", status, len(text), text)
}

func alwaysAnswers(answer string) *engine {
	return &engine{script: func(int, *http.Request) string { return answer }}
}

func TestAnswerIsPassedOnWhole(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(response(200, "done")))
	got := s.send(t.Context(), "/order/1")
	assert.Equal(t, got.body.String(), "done")
	assert.Equal(t, s.recorder.begun, 1)
	assert.Equal(t, s.recorder.last.Verdict, verdict.Ran)
}

// An order reaches an engine, which closes the connection without an answer. Sent
// to the other engine, it could run twice; reported as not run, the caller would
// send it again. It must be sent once and reported as may have run.
func TestOrderWithoutAnAnswerIsNotRetried(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(""), alwaysAnswers(""))
	got := s.send(t.Context(), "/order/1")
	assert.Equal(t, s.runs(), 1)
	assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
	assert.Equal(t, got.refusal.Reason, Broken)
}

// The first engine states that it did not run the order, which is proof, so that
// another engine may get it.
func TestRefusedOrderIsRetriedElsewhere(t *testing.T) {
	refusing := response(503, "full")
	s := newFixture(t, testRoutes(), alwaysAnswers(refusing), alwaysAnswers(refusing), alwaysAnswers(refusing), alwaysAnswers(refusing))
	got := s.send(t.Context(), "/order/1")
	assert.Equal(t, s.runs(), 4) // three attempts that may run it, and one more for a refusal
	assert.Equal(t, got.refusal.Verdict, verdict.NotRun)
	assert.Equal(t, got.refusal.Reason, Shed)
	assert.Assert(t, got.refusal.RetryAfter > 0)
	assert.Equal(t, s.state.Levels(time.Now())["w"], 1000.0) // refunded
}

// A lookup may run twice, so that the failure of one engine must not reach the
// caller.
func TestFailedLookupIsRetried(t *testing.T) {
	first := true
	var mu sync.Mutex
	script := func(int, *http.Request) string {
		mu.Lock()
		defer mu.Unlock()
		if first {
			first = false
			return response(500, "broken")
		}
		return response(200, "done")
	}
	s := newFixture(t, testRoutes(), &engine{script: script}, &engine{script: script})
	got := s.send(t.Context(), "/lookup/1")
	assert.Equal(t, got.body.String(), "done")
	assert.Equal(t, s.runs(), 2)
}

// The only engine fails a lookup with an answer of its own, and there is no other
// engine to retry at. The caller must get that answer, not a refusal of the daemon
// in its place.
func TestFailureIsPassedOnWhereThereIsNoOtherEngine(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(response(500, "broken")))
	got := s.send(t.Context(), "/lookup/1")
	assert.Equal(t, got.status, 500)
	assert.Equal(t, got.body.String(), "broken")
	assert.Equal(t, s.recorder.last.Verdict, verdict.Ran)
	assert.Assert(t, s.recorder.last.Failed)
}

func streamHead() string {
	return "HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n"
}

func chunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// An engine dies in the middle of an event. The other engine continues after the
// last whole one; the caller gets each event once and no partial one.
func TestStreamResumesAtAnotherEngine(t *testing.T) {
	script := func(_ int, r *http.Request) string {
		if r.Header.Get("After") == "" {
			return streamHead() + chunk("id: 1\ndata: a\n\nid: 2\ndata: cut")
		}
		return streamHead() + chunk("id: 2\ndata: b\n\n") + chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n"
	}
	a, b := &engine{script: script}, &engine{script: script}
	s := newFixture(t, testRoutes(), a, b)
	got := s.send(t.Context(), "/stream/1")
	assert.Equal(t, got.body.String(), "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	assert.Assert(t, got.ended && !got.aborted)
	assert.Equal(t, s.recorder.begun, 1)
	for _, e := range []*engine{a, b} {
		for _, r := range e.received {
			assert.Assert(t, r.Header.Get("After") == "" || r.Header.Get("After") == "1")
		}
	}
}

// An engine dies in the middle of an event on a route whose streams can't be
// resumed. The caller must see that the answer is truncated, never a clean end.
func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(streamHead()+chunk("id: 1\ndata: a\n\nid: 2\ndata: cut")), alwaysAnswers(""))
	got := s.send(t.Context(), "/once/1")
	if got.refusal != nil { // the other engine was chosen
		assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
		return
	}
	assert.Equal(t, got.body.String(), "id: 1\ndata: a\n\n")
	assert.Assert(t, got.aborted && !got.ended)
}

// The second engine fails a resumed stream with an answer of its own. Ended as if
// complete, the caller would take a part for the whole.
func TestFailureInAResumedStreamNeverLooksComplete(t *testing.T) {
	script := func(_ int, r *http.Request) string {
		if r.Header.Get("After") == "" {
			return streamHead() + chunk("id: 1\ndata: a\n\nid: 2\ncut")
		}
		return response(500, "broken")
	}
	s := newFixture(t, testRoutes(), &engine{script: script}, &engine{script: script})
	got := s.send(t.Context(), "/stream/1")
	assert.Assert(t, got.aborted && !got.ended)
	assert.Equal(t, got.body.String(), "id: 1\ndata: a\n\n")
}

// Another endpoint has got the address meanwhile. It reports that it did not run
// the request, and the next endpoint gets it.
func TestMisdirectedRequestIsRetriedElsewhere(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(response(421, "")), alwaysAnswers(response(421, "")), alwaysAnswers(response(200, "done")))
	got := s.send(t.Context(), "/order/1")
	assert.Equal(t, got.body.String(), "done")
}

func TestUnknownRouteUnknownKeyAndLimitAreRefused(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(response(200, "done")))
	assert.Equal(t, s.send(t.Context(), "/nowhere/").refusal.Reason, NoRoute)
	out := &recordingSink{}
	now := time.Now()
	s.relay.Serve(t.Context(), &Request{Path: "/order/1", Host: "h", Key: "other", Received: now, Deadline: now.Add(time.Second)}, out)
	assert.Equal(t, out.refusal.Reason, UnknownKey)
	out = &recordingSink{}
	small := &Request{ID: "r", Method: "POST", Target: "/order/1", Path: "/order/1", Host: "h", Key: "small", Received: now, Deadline: now.Add(time.Minute)}
	for range 3 {
		s.relay.Serve(t.Context(), small, out)
		assert.Assert(t, out.refusal == nil)
		out = &recordingSink{}
	}
	s.relay.Serve(t.Context(), small, out)
	assert.Equal(t, out.refusal.Reason, OverLimit)
	assert.Assert(t, out.refusal.RetryAfter > 0)
}

// Guards against an outcome that has the workspace's priority alone.
func TestOutcomeHasThePriorityOfTheRoute(t *testing.T) {
	own := 7
	a := &admitted{route: &route.Route{Name: "r", Priority: 2}, workspace: &route.Workspace{Name: "w", Priority: &own}, priority: own}
	o := initialOutcome(&Request{}, a)
	assert.Equal(t, o.Priority, 7)
	assert.Equal(t, o.RoutePriority, 2)
}

// A daemon that has no configuration yet can't tell whether a route exists, so it
// must refuse as not run instead of answering that there is none.
func TestWithoutAConfigurationRequestsAreNotRun(t *testing.T) {
	state := NewState("a", quota.New(true, quota.Tolerance{}), retry.NewBudgets(retry.Config{Window: time.Second}, time.Now(), true), rand.New(rand.NewPCG(1, 2)))
	r := New(state, upstream.NewPool(1, upstream.DialTCP), plainProtocol{}, &recorder{}, &recorder{})
	out := &recordingSink{}
	r.Serve(t.Context(), &Request{Path: "/x/", Host: "h"}, out)
	assert.Equal(t, out.refusal.Reason, NoConfiguration)
	assert.Equal(t, out.refusal.Verdict, verdict.NotRun)
}

// The caller leaves while an engine works. Nothing more may be sent, and the
// engine's connection is closed.
func TestNothingIsSentAfterTheCallerLeaves(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := newFixture(t, testRoutes(), &engine{script: func(int, *http.Request) string { cancel(); return streamHead() + "cut" }}, alwaysAnswers(""))
	got := s.send(ctx, "/lookup/1")
	assert.Equal(t, s.recorder.last.Reason, CallerLeft)
	assert.Assert(t, got.refusal == nil && !got.ended && got.aborted)
}

func TestOlderConfigurationIsNeverApplied(t *testing.T) {
	s := newFixture(t, testRoutes(), alwaysAnswers(""))
	assert.Assert(t, !s.state.Configure(time.Now(), route.New(route.Table{Version: 1})))
	assert.Assert(t, s.state.Configure(time.Now(), route.New(route.Table{Version: 5})))
	assert.Assert(t, !s.state.Configure(time.Now(), route.New(route.Table{Version: 4})))
	assert.Equal(t, s.state.Table().Version, uint64(5))
}

// An operator gives a route neither a target nor a timeout. Read as zero durations,
// every request would be late before it is sent.
func TestRouteWithoutTargetAndTimeout(t *testing.T) {
	bare := route.Route{Name: "bare", Prefix: "/bare/", Kind: route.Idempotent, MaxAttempts: 1}
	s := newFixture(t, []route.Route{bare}, alwaysAnswers(response(200, "done")))
	for range 3 {
		assert.Equal(t, s.send(t.Context(), "/bare/1").body.String(), "done")
	}
}

// An engine dies without closing its connections and restarts under its ID, which
// the list of endpoints shows at once. Waiting for an answer on the old connection
// would take seconds. The attempt must be aborted at once; the order may have run
// and must not be sent again.
func TestAttemptAtARestartedEngineIsAbortedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		silent := make(chan struct{})
		defer close(silent)
		script := func(n int, r *http.Request) string {
			if r.Header.Get("After") == "" {
				<-silent
			}
			return response(200, "done")
		}
		s := newFixture(t, testRoutes(), &engine{script: script})
		restart := func(born time.Time) {
			s.state.SetEndpoints(time.Now(), []roster.Endpoint{{ID: "e0", Service: "s", Address: "e0", Slots: 8, DataCentre: "a", StartedAt: born}})
		}
		restart(time.Unix(1000, 0))
		began := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { restart(time.Unix(1001, 0)) })
		got := s.send(t.Context(), "/order/1")
		assert.Equal(t, time.Since(began), 100*time.Millisecond)
		assert.Equal(t, got.refusal.Verdict, verdict.MayHaveRun)
		assert.Equal(t, s.runs(), 1)
		assert.ErrorContains(t, s.recorder.last.Cause, "started again")
		assert.Equal(t, len(s.state.attempts), 0)
	})
}
