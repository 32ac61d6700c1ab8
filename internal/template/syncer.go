package template

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// ActionKind is the kind of an Action.
type ActionKind string

// The kinds of action. The caller reports the result of a fetch to Fetched or
// FetchFailed, that of a list to Listed or ListFailed.
const (
	FetchFromPeer ActionKind = "fetch"
	ListStore     ActionKind = "list"
)

// Action is a call that the caller of Tick must make.
type Action struct {
	Kind          ActionKind
	Peer          fleet.DaemonID    // where FetchFromPeer
	KnownVersions map[string]uint64 // where FetchFromPeer: the highest known version of each name
}

// Syncer decides when a daemon asks the platform's store or a peer for newer
// templates. Most changes arrive by the watch of the store. Peers' digests
// reveal changes that the watch missed, or can't deliver while the store is
// down; they are then fetched from one peer at a time. An infrequent full list
// of the store finds changes that both missed. A Syncer isn't safe for
// concurrent use.
type Syncer struct {
	config       SyncConfig
	store        *Store
	random       *rand.Rand
	peers        []*peer // by daemon, so that the same seed gives the same choices
	watchHealthy bool    // whether the last watch succeeded

	fetching      fleet.DaemonID // peer of the fetch in progress, empty for none
	fetchDeadline time.Time      // when that fetch times out

	listing      bool      // whether a list is in progress
	listDeadline time.Time // when that list times out
	nextList     time.Time // when the next list is due
	listBackoff  backoff
}

// peer is the state kept for another daemon.
type peer struct {
	daemon     fleet.DaemonID
	digest     Digest
	received   time.Time     // when this digest was first received
	fetchDelay time.Duration // random delay of a fetch for this digest, below FetchJitter
	backoff    backoff
}

// NewSyncer returns a Syncer for a store. The first list is due within
// StartJitter of now.
func NewSyncer(config SyncConfig, store *Store, random *rand.Rand, now time.Time) *Syncer {
	return &Syncer{
		config:   config,
		store:    store,
		random:   random,
		nextList: now.Add(jitter(random, config.StartJitter)),
	}
}

// DigestReceived handles a daemon's digest received with a membership message.
func (s *Syncer) DigestReceived(now time.Time, daemon fleet.DaemonID, digest Digest) {
	i, ok := s.findPeer(daemon)
	if !ok {
		s.peers = slices.Insert(s.peers, i, &peer{daemon: daemon})
	}
	p := s.peers[i]
	if digest != p.digest {
		p.digest, p.received = digest, now
		p.fetchDelay = jitter(s.random, s.config.FetchJitter)
	}
	if digest == s.store.digest && !digest.IsZero() {
		s.caughtUpByPeer(now)
	}
}

// findPeer returns the index of a daemon in peers, or else where to insert it.
func (s *Syncer) findPeer(daemon fleet.DaemonID) (int, bool) {
	return slices.BinarySearchFunc(s.peers, daemon, func(p *peer, d fleet.DaemonID) int {
		return cmp.Compare(p.daemon, d)
	})
}

// PeerGone removes a daemon that left or failed.
func (s *Syncer) PeerGone(daemon fleet.DaemonID) {
	if i, ok := s.findPeer(daemon); ok {
		s.peers = slices.Delete(s.peers, i, i+1)
	}
	if s.fetching == daemon {
		s.fetching = ""
	}
}

// WatchSucceeded handles a successful watch of the store, with or without
// changes.
func (s *Syncer) WatchSucceeded(now time.Time, changes ...Revision) []Applied {
	s.watchHealthy = true
	if s.store.caughtUp {
		s.store.Confirmed(now)
	}
	return s.store.Apply(changes...)
}

// WatchFailed handles a failed watch.
func (s *Syncer) WatchFailed() { s.watchHealthy = false }

// WatchReset handles a watch that can't resume from its version. Changes since
// then may be missed, so a list becomes due. When the store comes back, this
// can happen to all daemons at once, so each delays its list at random.
func (s *Syncer) WatchReset(now time.Time) {
	s.watchHealthy = false
	due := now.Add(jitter(s.random, s.config.StartJitter))
	if due.Before(s.nextList) {
		s.nextList = due
	}
}

// WatchFrom returns the version after which a new watch must start.
func (s *Syncer) WatchFrom() uint64 { return s.store.digest.Newest }

// Listed handles a full list of the store.
func (s *Syncer) Listed(now time.Time, all ...Revision) []Applied {
	out := s.store.Apply(all...)
	s.store.CaughtUp(now)
	s.listing = false
	s.listBackoff.succeed()
	s.nextList = now.Add(s.listInterval())
	return out
}

// listInterval returns a random time until the next list.
func (s *Syncer) listInterval() time.Duration {
	mean := s.config.FleetListInterval * time.Duration(len(s.peers)+1)
	mean = min(max(mean, s.config.MinListInterval), s.config.MaxListInterval)
	return mean/2 + jitter(s.random, mean)
}

// ListFailed handles a failed list.
func (s *Syncer) ListFailed(now time.Time) {
	s.listing = false
	s.listBackoff.fail(now, s.config.MinBackoff, s.config.MaxBackoff, s.random)
}

// Fetched handles a peer's response. The peer must have caught up itself, see
// Store.Newer; if it hasn't, FetchFailed must be called instead.
func (s *Syncer) Fetched(now time.Time, daemon fleet.DaemonID, newer ...Revision) []Applied {
	out := s.store.Apply(newer...)
	s.caughtUpByPeer(now)
	s.endFetch(daemon)
	i, ok := s.findPeer(daemon)
	switch {
	case !ok:
	case anyInForce(out):
		s.peers[i].backoff.succeed()
	default:
		s.backOff(now, daemon)
	}
	return out
}

// caughtUpByPeer records that a peer brought the store up to date. It postpones
// a new daemon's first list: after a restart of all daemons, the few that
// listed first serve the rest.
func (s *Syncer) caughtUpByPeer(now time.Time) {
	if !s.store.caughtUp && !s.listing {
		s.nextList = now.Add(s.listInterval())
	}
	s.store.CaughtUp(now)
}

// anyInForce reports whether any revision was put in force. A peer whose digest
// differs but that has nothing new is backed off like one that doesn't respond.
func anyInForce(all []Applied) bool {
	return slices.ContainsFunc(all, func(a Applied) bool { return a.Effect == InForce })
}

// FetchFailed handles a fetch that failed, or whose peer hasn't caught up.
func (s *Syncer) FetchFailed(now time.Time, daemon fleet.DaemonID) {
	s.endFetch(daemon)
	s.backOff(now, daemon)
}

func (s *Syncer) endFetch(daemon fleet.DaemonID) {
	if s.fetching == daemon {
		s.fetching = ""
	}
}

func (s *Syncer) backOff(now time.Time, daemon fleet.DaemonID) {
	if i, ok := s.findPeer(daemon); ok {
		s.peers[i].backoff.fail(now, s.config.MinBackoff, s.config.MaxBackoff, s.random)
	}
}

// Tick returns the calls that are due. Calling it a few times a second is
// enough.
func (s *Syncer) Tick(now time.Time) []Action {
	var out []Action
	s.expireCalls(now)
	if s.listDue(now) {
		s.listing, s.listDeadline = true, now.Add(s.config.Timeout)
		out = append(out, Action{Kind: ListStore})
	}
	if daemon, ok := s.pickPeer(now); ok {
		s.fetching, s.fetchDeadline = daemon, now.Add(s.config.Timeout)
		out = append(out, Action{Kind: FetchFromPeer, Peer: daemon, KnownVersions: s.store.KnownVersions()})
	}
	return out
}

// expireCalls fails calls that have timed out.
func (s *Syncer) expireCalls(now time.Time) {
	if s.fetching != "" && !now.Before(s.fetchDeadline) {
		s.FetchFailed(now, s.fetching)
	}
	if s.listing && !now.Before(s.listDeadline) {
		s.ListFailed(now)
	}
}

func (s *Syncer) listDue(now time.Time) bool {
	return !s.listing && !now.Before(s.nextList) && s.listBackoff.allows(now)
}

// pickPeer returns the peer to fetch from now, if any: the one with the newest
// version among those that may have something that this daemon lacks. Among
// equals it chooses at random, so that not all daemons ask the first one to
// have a change.
func (s *Syncer) pickPeer(now time.Time) (fleet.DaemonID, bool) {
	if s.fetching != "" {
		return "", false
	}
	var best fleet.DaemonID
	newest, equals := uint64(0), 0
	for _, p := range s.peers {
		if !s.mayHaveNewer(p) || now.Before(s.fetchDueAt(p)) || !p.backoff.allows(now) {
			continue
		}
		switch {
		case equals == 0 || p.digest.Newest > newest:
			best, newest, equals = p.daemon, p.digest.Newest, 1
		case p.digest.Newest == newest:
			equals++
			if s.random.IntN(equals) == 0 {
				best = p.daemon
			}
		}
	}
	return best, equals > 0
}

// mayHaveNewer reports whether a peer may have what this daemon lacks. A peer
// whose newest version is lower isn't asked: it will fetch from this daemon,
// and if the digests still differ afterwards, its newest version is no longer
// lower.
func (s *Syncer) mayHaveNewer(p *peer) bool {
	own := s.store.digest
	return !p.digest.IsZero() && p.digest != own && p.digest.Newest >= own.Newest
}

// fetchDueAt returns the earliest time of a fetch for a peer's current digest.
// While the watch is healthy it leaves the watch time to deliver the change.
func (s *Syncer) fetchDueAt(p *peer) time.Time {
	switch {
	case s.watchHealthy && s.store.caughtUp:
		return p.received.Add(s.config.WatchGrace + 2*p.fetchDelay)
	default:
		return p.received.Add(p.fetchDelay)
	}
}
