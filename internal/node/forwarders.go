package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/forward"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

const (
	// forwarderConnections bounds the connections to one other daemon, each of which
	// carries one request.
	forwarderConnections = 256
	// forwarderCount is how many daemons a hub offers to one that can't reach endpoints, and
	// forwarderSample how many it compares for them.
	forwarderCount  = 8
	forwarderSample = 24
	// directAttempts is the number of unreachable endpoints after which a request is sent
	// through another daemon, while some endpoints of its service can be reached.
	directAttempts = 2
	// forwarderTTL is how long a list of other daemons is used.
	forwarderTTL = 10 * time.Second
	// forwarderAvoidance is how long a daemon that didn't answer is avoided.
	forwarderAvoidance = 2 * time.Second
	// forwardedShare is the part of the memory for the bodies of forwarded requests, and
	// minForwardedBytes its least.
	forwardedShare    = 0.1
	minForwardedBytes = 8 << 20
)

// forwarders are the daemons through which this one sends requests for services whose
// endpoints it can't reach. It implements relay.Forwarder.
type forwarders struct {
	forward.Codec
	node *Node
	pool *upstream.Pool

	mu       sync.Mutex
	known    []exchange.Forwarder
	knownAt  time.Time
	inFlight map[string]int       // by address
	avoided  map[string]time.Time // until when, by address
}

var _ relay.Forwarder = (*forwarders)(nil)

func newForwarders(n *Node) *forwarders {
	return &forwarders{
		node: n, pool: upstream.NewPool(forwarderConnections, upstream.DialTCP),
		inFlight: map[string]int{}, avoided: map[string]time.Time{},
	}
}

// Pool implements relay.Forwarder.
func (f *forwarders) Pool() *upstream.Pool { return f.pool }

// setKnown takes the daemons that a hub offers.
func (f *forwarders) setKnown(all []exchange.Forwarder) {
	if len(all) == 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known, f.knownAt = all, time.Now()
}

// Target implements relay.Forwarder. Of two daemons drawn at random it takes the one with
// fewer requests of this daemon.
func (f *forwarders) Target(service string, unreached int, tried []string) (string, bool) {
	now := time.Now()
	direct := f.node.paths.directShare(now, service)
	if unreached < directAttempts && direct > 0 && (direct == 1 || rand.Float64() < direct) {
		return "", false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if now.Sub(f.knownAt) > forwarderTTL {
		return "", false
	}
	address, n := "", 0
	for _, i := range rand.Perm(len(f.known)) {
		k := &f.known[i]
		if slices.Contains(tried, k.Address) || slices.Contains(k.Unreachable, service) || now.Before(f.avoided[k.Address]) {
			continue
		}
		if address == "" || f.inFlight[k.Address] < f.inFlight[address] {
			address = k.Address
		}
		if n++; n == 2 {
			break
		}
	}
	if address == "" {
		return "", false
	}
	f.inFlight[address]++
	return address, true
}

// Done implements relay.Forwarder.
func (f *forwarders) Done(address string, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.inFlight[address]--; f.inFlight[address] <= 0 {
		delete(f.inFlight, address)
	}
	delete(f.avoided, address)
	if !answered {
		f.avoided[address] = time.Now().Add(forwarderAvoidance)
	}
}

// ServeForwarded implements forward.Handler.
func (n *Node) ServeForwarded(ctx context.Context, r *relay.ForwardedRequest, sink relay.Sink) {
	n.relay.ServeForwarded(ctx, r, sink)
}

// openForward opens the listener for requests of other daemons.
func (n *Node) openForward() (*forward.Server, error) {
	if n.settings.Listen.Forward == "" {
		return nil, nil
	}
	maxBytes := max(int64(forwardedShare*float64(n.settings.Limits.MemoryMB)*(1<<20)), minForwardedBytes)
	return forward.Open(n, n.settings.Listen.Forward, maxBytes, n.logFor("forward"))
}

// forwardAddress returns the address to report for forwarded requests, empty while this
// daemon leaves.
func (n *Node) forwardAddress() string {
	if n.Stopping() {
		return ""
	}
	return n.settings.Listen.Forward
}

// forwardersFor returns daemons that take requests of the one that sent a report: in its
// region if there are any, those with the least requests of a random sample. The lock is
// held.
func (x *peerExchange) forwardersFor(now time.Time, report *exchange.Report) []exchange.Forwarder {
	if !report.WantForwarders {
		return nil
	}
	l := x.node.members.layout()
	var asker membership.Member
	for _, m := range l.serving {
		if m.Daemon == report.Daemon {
			asker = m
		}
	}
	type offer struct {
		exchange.Forwarder
		remote  bool
		running int
	}
	var all []offer
	for _, i := range rand.Perm(len(l.serving)) {
		m := &l.serving[i]
		f, running, ok := x.hub.Forwarder(now, m.Daemon)
		if !ok || m.Daemon == report.Daemon {
			continue
		}
		all = append(all, offer{f, m.Region != asker.Region, running})
	}
	slices.SortStableFunc(all, func(a, b offer) int {
		switch {
		case a.remote != b.remote && a.remote:
			return 1
		case a.remote != b.remote:
			return -1
		}
		return len(a.Unreachable) - len(b.Unreachable)
	})
	sample := all[:min(len(all), forwarderSample)]
	slices.SortStableFunc(sample, func(a, b offer) int {
		if d := len(a.Unreachable) - len(b.Unreachable); d != 0 {
			return d
		}
		return a.running - b.running
	})
	var out []exchange.Forwarder
	for _, o := range sample[:min(len(sample), forwarderCount)] {
		out = append(out, o.Forwarder)
	}
	return out
}
