package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gossip"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
	"github.com/cyclamenbeam/cyclamenbeam/internal/retry"
)

// probeInterval is the time between two probes of the membership protocol. A dead
// daemon is detected everywhere within about a second, in which callers waste
// connection attempts on it.
const probeInterval = 300 * time.Millisecond

// members keeps the view of the fleet and what follows from it.
type members struct {
	node   *Node
	gossip *gossip.Node
	seeds  atomic.Pointer[[]membership.Member]
	count  atomic.Int64 // of the serving daemons, updated each countInterval
	cache  atomic.Pointer[cachedLayout]
	self   membership.Member
	// prior is how many daemons there were before this one started, nil until it is read.
	prior atomic.Pointer[int]

	sharersMu sync.Mutex
	sharers   *retry.Sharers
}

// cachedLayout is the layout of a view.
type cachedLayout struct {
	view   *membership.View
	large  bool
	layout *layout
}

// joinFleet starts the membership protocol at the peers' address.
func joinFleet(n *Node) (*members, error) {
	s := n.settings
	conn, err := net.ListenPacket("udp", s.Listen.Peers)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	self := membership.Member{
		Instance:    s.Daemon.Instance,
		Daemon:      n.id,
		Caller:      s.Listen.Callers,
		Peer:        s.Listen.Peers,
		DataCentre:  s.Daemon.DataCentre,
		Region:      s.Daemon.Region,
		Incarnation: uint64(time.Now().UnixMilli()),
	}
	g, err := gossip.Start(gossip.Options{
		Conn:       n.wrapDatagrams(conn),
		Membership: membership.New(membership.Config{ProbeInterval: probeInterval}, self, random()),
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m := &members{
		node: n, gossip: g, self: self,
		sharers: retry.NewSharers(self.Instance, seconds(s.Bounds.RetryWindowSeconds), n.started, s.Daemon.FirstStart),
	}
	m.addSeeds(s)
	return m, nil
}

// wrapDatagrams returns the connection for the membership protocol; the datagrams of origins and
// witnesses go over it too.
func (n *Node) wrapDatagrams(c net.PacketConn) net.PacketConn {
	dc := &datagramConn{PacketConn: c, receive: map[datagramMark]func([]byte, net.Addr){
		originMark: n.origins.receive,
		probeMark:  n.witnesses.receive,
	}}
	n.origins.conn.Store(dc)
	n.witnesses.conn.Store(dc)
	return dc
}

// addSeeds takes the seeds of settings, which may have changed.
func (m *members) addSeeds(s *Settings) {
	seeds := seedMembers(s)
	for _, address := range m.node.extraSeeds {
		seeds = append(seeds, membership.Member{Peer: address})
	}
	m.seeds.Store(&seeds)
	m.gossip.AddSeeds(seeds)
}

// seedMembers returns the peers on the seeds' machines: all daemons use the same port
// for each other.
func seedMembers(s *Settings) []membership.Member {
	_, port, err := net.SplitHostPort(s.Listen.Peers)
	if err != nil {
		return nil
	}
	var out []membership.Member
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err != nil {
			continue
		}
		address := net.JoinHostPort(host, port)
		if address != s.Listen.Peers {
			out = append(out, membership.Member{Peer: address})
		}
	}
	return out
}

// gatherPeriod is how long a daemon that starts may take to find all others.
const gatherPeriod = 2500 * time.Millisecond

// gathering reports whether this daemon may not have found all others yet.
func (n *Node) gathering() bool { return time.Since(n.started) < gatherPeriod }

// countInterval is how often the daemons are counted. Until a part of the fleet has
// detected a partition, it admits more than its share of the limits.
const countInterval = 250 * time.Millisecond

// run updates what depends on the number of daemons.
func (m *members) run(ctx context.Context) {
	seen, sharing := 0, 0
	var shared *layout
	pause.Every(ctx, countInterval, func() {
		m.countSharers()
		n := len(m.serving())
		if n != seen {
			seen = n
			m.count.Store(int64(n))
			m.node.peers.setInterval(m.node.reportAge())
			m.node.logFor("membership").WithField("daemons", n).Info("fleet changed")
		}
		if running := len(m.layout().running); running != sharing {
			sharing = running
			m.node.shareConnections()
		}
		// A daemon that has just started finds the others one by one.
		if !m.node.gathering() {
			m.node.state.SetDaemons(time.Now(), n)
			shared = m.shareRateLimits(shared)
		}
	})
}

// countSharers counts the daemons that share the retry budgets.
func (m *members) countSharers() {
	m.sharersMu.Lock()
	defer m.sharersMu.Unlock()
	now := time.Now()
	if m.sharers.Update(now, m.node.clock.Now(), m.gossip.View().All()) {
		m.node.state.NoteDeparture(now)
	}
	m.node.state.SetRetryDaemons(m.sharers.Daemons(), m.sharers.Offset())
}

// sharersRestored reports whether it is known how many daemons there were before this one
// started.
func (m *members) sharersRestored() bool {
	m.sharersMu.Lock()
	defer m.sharersMu.Unlock()
	return m.sharers.Restored()
}

// restoreSharers takes the peak that was stored before this process started.
func (m *members) restoreSharers(p retry.Peak) {
	m.sharersMu.Lock()
	m.sharers.Restore(p)
	m.sharersMu.Unlock()
	m.countSharers()
}

// sharersPeak returns the peak to be stored.
func (m *members) sharersPeak() retry.Peak {
	m.sharersMu.Lock()
	defer m.sharersMu.Unlock()
	return m.sharers.Peak()
}

// shareRateLimits shares the endpoints' rate limits among the daemons of the newest layout,
// which it returns. last is the one that they were last shared by.
func (m *members) shareRateLimits(last *layout) *layout {
	l := m.layout()
	if l == last {
		m.node.state.RefreshRateLimits(time.Now())
		return l
	}
	m.node.state.SetFleet(time.Now(), m.node.id, l.running)
	return l
}

// cachedCount returns how many daemons serve, as of countInterval ago at the most.
func (m *members) cachedCount() int { return int(m.count.Load()) }

// layout returns the layout of the newest view.
func (m *members) layout() *layout {
	view, large := m.gossip.View(), m.large()
	if last := m.cache.Load(); last != nil && last.view == view && last.large == large {
		return last.layout
	}
	l := newLayout(&m.self, aliveOf(view), large)
	l.running = idsOf(view.Alive())
	m.cache.Store(&cachedLayout{view, large, l})
	return l
}

// large reports whether the fleet counts as a large one though few daemons have been found
// yet: there were many before this daemon started, or strong and weak machines have been
// found in a fleet that starts for the first time.
func (m *members) large() bool {
	if time.Since(m.node.started) > startTime {
		return false
	}
	first := m.node.settings.Daemon.FirstStart && m.mixed(m.gossip.View())
	known, _ := m.priorCount()
	return first || exchange.Meshed(known)
}

// priorCount returns how many daemons there were before this one started, and whether that
// has been read; at a first start it never is.
func (m *members) priorCount() (daemons int, read bool) {
	if known := m.prior.Load(); known != nil {
		return *known, true
	}
	return 0, false
}

// mixed reports whether a view has both machines that register as hubs and weak ones.
func (m *members) mixed(view *membership.View) bool {
	strong, weak := false, false
	for _, member := range view.Alive() {
		grade := strengthOf(member.Daemon)
		strong = strong || grade >= registerStrength
		weak = weak || grade < hubStrength
		if strong && weak {
			return true
		}
	}
	return false
}

// aliveOf returns the daemons of a view that take requests, its own among them unless
// it is leaving.
func aliveOf(view *membership.View) []membership.Member {
	all := view.Alive()
	out := make([]membership.Member, 0, len(all))
	for _, member := range all {
		if member.State == membership.Alive {
			out = append(out, member)
		}
	}
	return out
}

// serving returns the daemons that take requests, this one among them unless it is
// leaving. The slice is shared.
func (m *members) serving() []membership.Member { return m.layout().serving }

// reporters returns how many daemons report to each of this daemon's hubs.
func (m *members) reporters() int { return m.layout().reporters }

// at returns the serving daemon at a peers' address.
func (m *members) at(address string) (membership.Member, bool) {
	for _, member := range m.serving() {
		if member.Peer == address {
			return member, true
		}
	}
	return membership.Member{}, false
}

// hubKey ranks daemons as hubs and as holders of the duties.
var hubKey = rendezvous.Key("duties")

// dutyCandidates is the number of daemons that may hold the duties.
const dutyCandidates = 6

// candidates returns the daemons that may hold the duties.
func (m *members) candidates() []fleet.DaemonID { return idsOf(m.layout().candidates) }

// ids returns the serving daemons.
func (m *members) ids() []fleet.DaemonID { return idsOf(m.serving()) }

func idsOf(all []membership.Member) []fleet.DaemonID {
	out := make([]fleet.DaemonID, len(all))
	for i, member := range all {
		out[i] = member.Daemon
	}
	return out
}
