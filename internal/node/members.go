package node

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/exchange"
	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/gossip"
	"github.com/cyclamenbeam/cyclamenbeam/internal/membership"
	"github.com/cyclamenbeam/cyclamenbeam/internal/pause"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// probeInterval is the time between two probes of the membership protocol. A
// dead daemon is known everywhere within about a second, in which callers
// would waste a connection attempt on it.
const probeInterval = 300 * time.Millisecond

// members is which daemons there are.
type members struct {
	node   *Node
	gossip *gossip.Node
	seeds  atomic.Pointer[[]membership.Member]
	count  atomic.Int64 // of the serving daemons, at the last look
	cache  atomic.Pointer[cachedLayout]
	self   membership.Member
	// prior is how many daemons there were before this one started, once it has learned.
	prior atomic.Pointer[int]
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
		Conn:       conn,
		Membership: membership.New(membership.Config{ProbeInterval: probeInterval}, self, random()),
	})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	m := &members{node: n, gossip: g, self: self}
	m.addSeeds(s)
	return m, nil
}

// addSeeds takes the seeds of settings that are new or have changed.
func (m *members) addSeeds(s *Settings) {
	seeds := seedMembers(s)
	for _, address := range m.node.extraSeeds {
		seeds = append(seeds, membership.Member{Peer: address})
	}
	m.seeds.Store(&seeds)
	m.gossip.AddSeeds(seeds)
}

// seedMembers turns the seeds' machines into peers: all daemons have the same
// port for each other.
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

// countInterval is how often the daemons are counted. Until a part of the fleet
// knows that it is cut off, it lets in more than its part of the limits.
const countInterval = 250 * time.Millisecond

// run keeps what depends on the number of daemons up to date.
func (m *members) run(ctx context.Context) {
	seen := 0
	pause.Every(ctx, countInterval, func() {
		n := len(m.serving())
		if n != seen {
			seen = n
			m.count.Store(int64(n))
			m.node.peers.setInterval(m.node.reportAge())
			m.node.shareConnections()
			m.node.logFor("membership").WithField("daemons", n).Info("fleet changed")
		}
		// A daemon that has just started finds the others one by one.
		if !m.node.gathering() {
			m.node.state.SetDaemons(time.Now(), n)
		}
	})
}

// cachedCount returns how many daemons serve, as of countInterval ago at the most.
func (m *members) cachedCount() int { return int(m.count.Load()) }

// layout returns who works for whom, by the newest view.
func (m *members) layout() *layout {
	view, large := m.gossip.View(), m.large()
	if last := m.cache.Load(); last != nil && last.view == view && last.large == large {
		return last.layout
	}
	l := newLayout(&m.self, aliveOf(view), large)
	m.cache.Store(&cachedLayout{view, large, l})
	return l
}

// large reports whether the fleet is taken for a large one though few have been met yet:
// there were many before this daemon started, or it has met strong and weak machines of a
// fleet that starts for the first time.
func (m *members) large() bool {
	if time.Since(m.node.started) > startTime {
		return false
	}
	first := m.node.settings.Daemon.FirstStart && m.mixed(m.gossip.View())
	known, _ := m.priorCount()
	return first || exchange.Meshed(known)
}

// priorCount returns how many daemons there were priorCount this one started, and whether it
// has learned so; none at a first start.
func (m *members) priorCount() (daemons int, learned bool) {
	if known := m.prior.Load(); known != nil {
		return *known, true
	}
	return 0, false
}

// mixed reports whether a view has machines that enter themselves as hubs and weak ones.
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
// it leaves.
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

// serving returns the daemons that take requests, this one among them unless
// it leaves. The slice is shared.
func (m *members) serving() []membership.Member { return m.layout().serving }

// reporters returns how many daemons report to a hub of this one's.
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
