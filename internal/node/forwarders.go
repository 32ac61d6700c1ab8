package node

import (
	"context"
	"sync"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/forward"
	"github.com/cyclamenbeam/cyclamenbeam/internal/reach"
	"github.com/cyclamenbeam/cyclamenbeam/internal/relay"
	"github.com/cyclamenbeam/cyclamenbeam/internal/upstream"
)

const (
	// forwarderConnections bounds the connections to one other daemon, each of which
	// carries one request.
	forwarderConnections = 256
)

// forwarders are the daemons through which this one sends requests for services whose
// endpoints it can't reach. It implements relay.Forwarder.
type forwarders struct {
	forward.Codec
	node *Node
	pool *upstream.Pool

	mu      sync.Mutex
	chooser *reach.Chooser
}

var _ relay.Forwarder = (*forwarders)(nil)

func newForwarders(n *Node, dial upstream.Dialer) *forwarders {
	if dial == nil {
		dial = upstream.DialTCP
	}
	return &forwarders{
		node: n, pool: upstream.NewPool(forwarderConnections, dial), chooser: reach.NewChooser(random()),
	}
}

// Pool implements relay.Forwarder.
func (f *forwarders) Pool() *upstream.Pool { return f.pool }

// setKnown takes the daemons that a hub offers.
func (f *forwarders) setKnown(all []exchange.Forwarder) {
	peers := make([]reach.Peer, 0, len(all))
	for _, o := range all {
		peers = append(peers, reach.Peer{Address: o.Address, Unreachable: o.Unreachable, KeepsVersions: o.KeepsVersions})
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.SetKnown(time.Now(), peers)
}

// Target implements relay.Forwarder.
func (f *forwarders) Target(service string, unreached int, tried []string, pinned bool) (string, bool) {
	now := time.Now()
	direct := f.node.paths.directShare(now, service)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.chooser.GoDirect(direct, unreached) {
		return "", true
	}
	address, _ := f.chooser.Choose(now, service, unreached, tried, pinned)
	return address, false
}

// FoundOpen implements relay.Forwarder.
func (f *forwarders) FoundOpen(service, address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.FoundOpen(time.Now(), service, address)
}

// Done implements relay.Forwarder.
func (f *forwarders) Done(address string, answered bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chooser.Done(time.Now(), address, answered)
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
	return forward.Open(n, n.settings.Listen.Forward, n.bodies, n.guard, n.settings.places(forwardPart), n.logFor("forward"))
}

// forwardAddress returns the address to report for forwarded requests, empty while this
// daemon leaves.
func (n *Node) forwardAddress() string {
	if n.Stopping() {
		return ""
	}
	return n.settings.Listen.Forward
}

// forwardersFor returns the daemons to offer to the one that sent a report. The lock is held.
func (x *peerExchange) forwardersFor(now time.Time, report *exchange.Report) []exchange.Forwarder {
	if !report.WantForwarders {
		return nil
	}
	serving := x.node.members.serving()
	var region fleet.Region
	for i := range serving {
		if serving[i].Daemon == report.Daemon {
			region = serving[i].Region
		}
	}
	var peers []reach.Peer
	for _, i := range x.rng.Perm(len(serving)) {
		if len(peers) == reach.MaxPeers {
			break
		}
		m := &serving[i]
		f, running, ok := x.hub.Forwarder(now, m.Daemon)
		if ok && m.Daemon != report.Daemon {
			peers = append(peers, reach.Peer{
				Address: f.Address, Unreachable: f.Unreachable, KeepsVersions: f.KeepsVersions, Remote: m.Region != region, Running: running,
			})
		}
	}
	var out []exchange.Forwarder
	for _, p := range reach.Offer(x.rng, peers) {
		out = append(out, exchange.Forwarder{Address: p.Address, Unreachable: p.Unreachable, KeepsVersions: p.KeepsVersions})
	}
	return out
}
