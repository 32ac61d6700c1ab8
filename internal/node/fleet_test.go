package node

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cyclamenbeam/cyclamenbeam/internal/backpressure"
	"github.com/cyclamenbeam/cyclamenbeam/internal/delivery"
	"github.com/cyclamenbeam/cyclamenbeam/internal/duty"
	"github.com/cyclamenbeam/cyclamenbeam/internal/faultproxy"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/objects"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/roster"
	"github.com/cyclamenbeam/cyclamenbeam/internal/route"
	"github.com/cyclamenbeam/cyclamenbeam/internal/testport"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

// recordingCloud records the usage reports and their fencing tokens.
type recordingCloud struct {
	mu      sync.Mutex
	reports []duty.Usage
	tokens  []uint64
}

func (c *recordingCloud) Report(_ context.Context, f duty.Fence, u duty.Usage) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reports = append(c.reports, u)
	c.tokens = append(c.tokens, f.Token)
	return nil
}

func (c *recordingCloud) Order(context.Context, duty.Fence, duty.Order) error { return nil }

func (c *recordingCloud) total(w fleet.WorkspaceID) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := uint64(0)
	for _, r := range c.reports {
		n += r.Begun[w]
	}
	return n
}

// echo is a protocol that returns answers unchanged.
type echo struct{}

func (echo) Header(r *relay.Request, _ *relay.Attempt) http.Header { return http.Header{"Id": {r.ID}} }
func (echo) Owns(*relay.Request) func(http.Header) upstream.Ownership {
	return func(http.Header) upstream.Ownership { return upstream.ThisRequest }
}
func (echo) Stated(int, http.Header) backpressure.Stated { return backpressure.Stated{} }

func (echo) InvalidKind(int, http.Header) string { return "" }

func (echo) EventFields() []string { return nil }

func (echo) Classify(status int, _ http.Header) relay.Class {
	if status == http.StatusOK {
		return relay.Success
	}
	return relay.Failure
}
func (echo) Answer(h http.Header) http.Header { return h }

// recordingSink records the answer to a caller.
type recordingSink struct {
	status  int
	body    string
	refusal *relay.Refusal

	deliveries *delivery.Log
}

func (s *recordingSink) Whole(status int, _ http.Header, body []byte) {
	s.status, s.body = status, string(body)
}
func (s *recordingSink) Refuse(r relay.Refusal) { s.refusal = &r }
func (s *recordingSink) Begin(int, http.Header) {}
func (s *recordingSink) WriteBody([]byte) error { return nil }
func (s *recordingSink) End()                   {}
func (s *recordingSink) Abort()                 {}
func (s *recordingSink) Deliveries() *delivery.Log {
	if s.deliveries == nil {
		s.deliveries = delivery.NewLog()
	}
	return s.deliveries
}

// testFleet is daemons on one store.
type testFleet struct {
	t      testing.TB
	hold   atomic.Int64 // how long the endpoints take, in nanoseconds
	runs   atomic.Int64 // requests that they ran
	store  *memoryStore
	cloud  *recordingCloud
	nodes  []*Node
	cancel []context.CancelFunc
	done   []chan error
}

// decodeTable reads a version, the text's first word, and the service of the streams, which is
// the second one or "s"; the table lets one workspace call the services, s being of engines if
// the second word says so.
func decodeTable(spec []byte) (*route.Table, error) {
	word, rest, _ := strings.Cut(string(spec), " ")
	streams, _, _ := strings.Cut(rest, " ")
	if len(streams) != 1 { // engines, or padding of some tests
		streams = "s"
	}
	version, err := strconv.ParseUint(word, 10, 64)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	service := route.Service{Name: "s"}
	if rest == "engines" {
		service.Engine = &route.Engine{Slots: 8, CacheTokens: 100_000}
	}
	return route.New(route.Table{
		Version: version,
		Routes: []route.Route{{
			Name: "r", Host: "h", Prefix: "/", Kind: route.NonIdempotent, Timeout: time.Minute, Target: time.Minute,
			MaxAttempts: 1, Backends: []route.Backend{{Service: "s", Weight: 1}},
		}, {
			Name: "streams", Host: "h", Prefix: "/stream/", Kind: route.Streaming, Resumable: true, Timeout: 5 * time.Second, Target: 4 * time.Second,
			MaxAttempts: 1, Backends: []route.Backend{{Service: streams, Weight: 1}},
		}},
		Services:   []route.Service{service, {Name: "t"}},
		Workspaces: []route.Workspace{{Name: "w", Keys: []string{"key"}}},
	}), nil
}

// decodeEndpoint reads an address, and a version after a space.
func decodeEndpoint(_ time.Time, o objects.Object) (roster.Endpoint, error) {
	var text string
	err := json.Unmarshal(o.Spec, &text)
	address, version, _ := strings.Cut(text, " ")
	return roster.Endpoint{ID: fleet.EndpointID(o.Name), Service: "s", Address: address, Version: version, Slots: 8}, err
}

func newFleet(t testing.TB, n int) *testFleet {
	t.Helper()
	f := &testFleet{t: t, store: newMemoryStore(), cloud: &recordingCloud{}}
	f.addEndpoint("e1")
	_, err := f.store.Create(t.Context(), "config", "main", json.RawMessage("1"))
	assert.NilError(t, err)
	for range n {
		f.add()
	}
	t.Cleanup(f.stop)
	return f
}

// addEndpoint starts and registers an endpoint.
func (f *testFleet) addEndpoint(id string) {
	f.t.Helper()
	engine := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f.runs.Add(1)
		select {
		case <-time.After(time.Duration(f.hold.Load())):
			_, _ = io.WriteString(w, "done")
		case <-r.Context().Done():
			f.runs.Add(-1) // cancelled
		}
	})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	go func() { _ = engine.Serve(l) }()
	f.t.Cleanup(func() { _ = engine.Close() })
	spec, err := json.Marshal(l.Addr().String())
	assert.NilError(f.t, err)
	_, err = f.store.Create(f.t.Context(), "endpoints", id, spec)
	assert.NilError(f.t, err)
}

// add starts one more daemon.
func (f *testFleet) add() *Node { return f.addWith(f.store, func(*Node) {}) }

// addWith starts one more daemon with a store of its own, which may wrap the fleet's.
// change is called before the daemon runs.
func (f *testFleet) addWith(store objects.Store, change func(*Node)) *Node {
	return f.addNode(Platform{Store: store}, change)
}

// addWithPath starts one more daemon, whose path to the endpoints can be lost.
func (f *testFleet) addWithPath(path *faultproxy.Path) *Node {
	return f.addNode(Platform{Store: f.store, Dial: path.Dial}, func(*Node) {})
}

// addNode starts one more daemon, with the store and the dialer of a platform.
func (f *testFleet) addNode(p Platform, change func(*Node)) *Node {
	i := len(f.nodes)
	s := &Settings{
		Daemon: DaemonSettings{
			Instance: fleet.InstanceID("i" + strconv.Itoa(i)), DataCentre: "a", Region: "r", FirstStart: true,
		},
		Listen: ListenSettings{Callers: testport.Reserve(f.t), Peers: testport.Reserve(f.t), Forward: testport.Reserve(f.t)},
		Bounds: BoundsSettings{
			GraceSeconds: 0.4, RetryRatio: 0.2, RetryWindowSeconds: 10, RetrySlack: 10,
			UsageWindowSeconds: 0.5, LeaseMillis: 900, AnswerMaxAgeSeconds: 1, ContactMillis: 3000, ChangeMillis: 3000,
		},
		Store:  StoreSettings{Address: "memory"},
		Cloud:  CloudSettings{Duties: []string{"usage_report"}},
		Limits: LimitSettings{Cores: 0.5, LinkMbps: 1000},
	}
	// All daemons of a platform have the same peers' port; here, on one host, the ports
	// differ, so that the first daemon's address is a seed.
	quiet := logrus.New()
	quiet.SetOutput(io.Discard)
	n := New(s, Platform{
		Store: p.Store, Dial: p.Dial, Protocol: echo{}, Cloud: f.cloud, ConfigKind: "config", ConfigName: "main",
		EndpointKind: "endpoints", DecodeTable: decodeTable, DecodeEndpoint: decodeEndpoint,
		Open: func(context.Context, *Node) (func(context.Context), error) { return func(context.Context) {}, nil },
	}, quiet)
	if i > 0 {
		n.extraSeeds = []string{f.nodes[0].settings.Listen.Peers}
	}
	change(n)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	path := filepath.Join(f.t.TempDir(), "settings.yaml")
	assert.NilError(f.t, os.WriteFile(path, nil, 0o600))
	go func() { done <- n.Run(ctx, path, nil) }()
	f.nodes = append(f.nodes, n)
	f.cancel = append(f.cancel, cancel)
	f.done = append(f.done, done)
	return n
}

func (f *testFleet) stop() {
	for _, cancel := range f.cancel {
		cancel()
	}
	for _, done := range f.done {
		if err := <-done; err != nil {
			f.t.Error(err)
		}
	}
}

// until waits for a condition on all daemons.
func (f *testFleet) until(what string, ok func(n *Node) bool) {
	f.t.Helper()
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		for _, n := range f.nodes {
			if !ok(n) {
				return poll.Continue("%s: not at %s", what, n.settings.Daemon.Instance)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute), poll.WithDelay(10*time.Millisecond))
}

func (f *testFleet) awaitReady() {
	f.t.Helper()
	f.until("ready", func(n *Node) bool { return n.Ready() && len(n.members.serving()) == len(f.nodes) })
}

// awaitHolder waits until all daemons have the holder of the duties.
func (f *testFleet) awaitHolder() {
	f.t.Helper()
	f.until("the duties have a holder", func(n *Node) bool {
		n.peers.mu.Lock()
		defer n.peers.mu.Unlock()
		return n.peers.holder.Token > 0
	})
}

func sendRequest(n *Node) *recordingSink {
	out := &recordingSink{}
	now := time.Now()
	n.Serve(context.Background(), &relay.Request{
		ID: "1", Method: "POST", Target: "/x", Path: "/x", Host: "h", Key: "key", Received: now, Deadline: now.Add(time.Minute),
	}, out)
	return out
}
