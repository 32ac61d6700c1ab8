package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Membership is one daemon's instance of the protocol. It is not safe for
// concurrent use; Views are.
type Membership struct {
	cfg  Config
	rng  *rand.Rand
	self *node

	clock   clock
	actions []Action

	nodes       map[fleet.InstanceID]*node
	sorted      []*node // all nodes by instance
	dataCentres []*dataCentre
	buckets     buckets
	updates     updateQueue
	regions     regions

	prober       prober
	relays       relays
	health       health
	syncer       syncer
	updateBudget budget
	syncBudget   budget
	seeds        seeds
	suspects     []*node // of this region, with a running deadline

	sequence   uint32
	received   uint64 // packets from other daemons
	regionSize int    // daemons of this region that are not gone
	nextGossip time.Duration
	nextExpire time.Duration
	lastNewer  newerDigest

	view           *View
	dirty          bool // the view is out of date
	digestsChanged bool // digests in the view are out of date
	viewBuiltAt    time.Duration
	reportedDeath  uint64 // incarnation of the last DeclaredDead
	joined         bool
	isolation      isolation
}

// New returns a Membership whose only member is self. Its State is ignored; its
// Incarnation should be the start time in Unix milliseconds.
func New(cfg Config, self Member, rng *rand.Rand) *Membership {
	m := &Membership{
		cfg:        cfg.withDefaults(),
		rng:        rng,
		nodes:      map[fleet.InstanceID]*node{},
		regionSize: 1,
	}
	m.updateBudget = newBudget(m.cfg.UpdateBytesPerSecond, updateBurst)
	m.syncBudget = newBudget(m.cfg.SyncBytesPerSecond, syncBurst)
	m.clock.stepLimit = max(minStepLimit, m.cfg.ProbeInterval/2)
	m.self = m.addMember(self.Instance, recordOf(self), Alive, max(self.Incarnation, 1))
	m.self.digest = self.Digest
	m.regions.own = self.Region
	m.regions.getOrAdd(self.Region, 0)
	m.updates.addNode(m.self)
	m.rebuildView()
	return m
}

// View returns the newest snapshot. It changes in Tick, Leave and Depart.
func (m *Membership) View() *View { return m.view }

// SetDigest sets the digest of this daemon's configuration, which every packet
// carries. Payload is cut to MaxDigestPayload bytes.
func (m *Membership) SetDigest(d Digest) {
	d.Payload = d.Payload[:min(len(d.Payload), MaxDigestPayload)]
	m.self.digest = d
	m.digestsChanged = true
}

// addMember adds a member that is not in the table yet.
func (m *Membership) addMember(id fleet.InstanceID, r *Record, s State, incarnation uint64) *node {
	n := &node{
		instance:    id,
		record:      r,
		run:         r.run(),
		state:       s,
		incarnation: incarnation,
		dc:          m.dataCentre(r.DataCentre, r.Region),
		sendRecord:  true,
	}
	m.nodes[id] = n
	at, _ := slices.BinarySearchFunc(m.sorted, id, func(n *node, id fleet.InstanceID) int {
		return cmp.Compare(n.instance, id)
	})
	m.sorted = slices.Insert(m.sorted, at, n)
	m.rehash(n)
	m.regions.getOrAdd(r.Region, m.clock.now)
	m.dirty = true
	return n
}

// dataCentre returns the entry of a data centre, creating it on first use.
func (m *Membership) dataCentre(name fleet.DataCentre, region fleet.Region) *dataCentre {
	for _, d := range m.dataCentres {
		if d.name == name && d.region == region {
			return d
		}
	}
	d := &dataCentre{name: name, region: region, lastPacketAt: m.clock.now}
	m.dataCentres = append(m.dataCentres, d)
	return d
}

// setState changes a member's state and queues the update for sending if spread
// is true.
func (m *Membership) setState(n *node, s State, incarnation uint64, spread bool) {
	wasFailed := n.state.IsSuspect() || n.state.Terminal()
	isFailed := s.IsSuspect() || s.Terminal()
	if isFailed && (!wasFailed || s.Terminal()) {
		n.failedAt = m.clock.now
	}
	n.state = s
	n.incarnation = incarnation
	m.rehash(n)
	m.dirty = true
	if spread {
		m.updates.addNode(n)
	}
}

func (m *Membership) emit(a Action) { m.actions = append(m.actions, a) }

// takeActions returns the actions since the last call. The caller owns the slice.
func (m *Membership) takeActions() []Action {
	out := m.actions
	m.actions = nil
	return out
}

// isLocal reports whether n is another daemon of this daemon's region. Only these
// are probed in rounds.
func (m *Membership) isLocal(n *node) bool {
	return n != m.self && n.record.Region == m.self.record.Region
}
