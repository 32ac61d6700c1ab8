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
	Kind ActionKind
	Peer fleet.DaemonID    // where FetchFromPeer
	Have map[string]uint64 // where FetchFromPeer: the highest known version of each name
}

// Spread decides when a daemon asks the platform's store or a peer for newer
// templates. Most changes arrive by the watch of the store. Peers' digests
// reveal changes that the watch missed, or can't deliver while the store is
// down; they are then fetched from one peer at a time. An infrequent full list
// of the store finds changes that both missed. A Spread isn't safe for
// concurrent use.
type Spread struct {
	config SpreadConfig
	store  *Store
	random *rand.Rand
	peers  []*peer // by daemon, so that the same seed gives the same choices
	watch  bool    // whether the last watch succeeded

	fetching fleet.DaemonID // peer of the fetch in progress, empty for none
	fetchEnd time.Time      // when that fetch times out

	listing  bool      // whether a list is in progress
	listEnd  time.Time // when that list times out
	listNext time.Time // when the next list is due
	listFail backoff
}

// peer is the state kept for another daemon.
type peer struct {
	daemon fleet.DaemonID
	digest Digest
	heard  time.Time     // when this digest was first received
	delay  time.Duration // random delay of a fetch for this digest, below FetchSpread
	fail   backoff
}

// NewSpread returns a Spread for a store. The first list is due within
// StartSpread of now.
func NewSpread(config SpreadConfig, store *Store, random *rand.Rand, now time.Time) *Spread {
	return &Spread{
		config:   config,
		store:    store,
		random:   random,
		listNext: now.Add(jitter(random, config.StartSpread)),
	}
}

// Heard handles a daemon's digest received with a membership message.
func (s *Spread) Heard(now time.Time, daemon fleet.DaemonID, digest Digest) {
	i, ok := s.find(daemon)
	if !ok {
		s.peers = slices.Insert(s.peers, i, &peer{daemon: daemon})
	}
	p := s.peers[i]
	if digest != p.digest {
		p.digest, p.heard = digest, now
		p.delay = jitter(s.random, s.config.FetchSpread)
	}
	if digest == s.store.digest && !digest.IsZero() {
		s.caughtUpByPeer(now)
	}
}

// find returns the index of a daemon in peers, or else where to insert it.
func (s *Spread) find(daemon fleet.DaemonID) (int, bool) {
	return slices.BinarySearchFunc(s.peers, daemon, func(p *peer, d fleet.DaemonID) int {
		return cmp.Compare(p.daemon, d)
	})
}

// Gone removes a daemon that left or failed.
func (s *Spread) Gone(daemon fleet.DaemonID) {
	if i, ok := s.find(daemon); ok {
		s.peers = slices.Delete(s.peers, i, i+1)
	}
	if s.fetching == daemon {
		s.fetching = ""
	}
}

// Watched handles a successful watch of the store, with or without changes.
func (s *Spread) Watched(now time.Time, changes ...Revision) []Applied {
	s.watch = true
	if s.store.caughtUp {
		s.store.Contact(now)
	}
	return s.store.Apply(changes...)
}

// WatchFailed handles a failed watch.
func (s *Spread) WatchFailed() { s.watch = false }

// WatchReset handles a watch that can't resume from its version. Changes since
// then may be missed, so a list becomes due. When the store comes back, this can
// happen to all daemons at once, so each delays its list at random.
func (s *Spread) WatchReset(now time.Time) {
	s.watch = false
	due := now.Add(jitter(s.random, s.config.StartSpread))
	if due.Before(s.listNext) {
		s.listNext = due
	}
}

// WatchFrom returns the version after which a new watch must start.
func (s *Spread) WatchFrom() uint64 { return s.store.digest.Newest }

// Listed handles a full list of the store.
func (s *Spread) Listed(now time.Time, all ...Revision) []Applied {
	out := s.store.Apply(all...)
	s.store.CaughtUp(now)
	s.listing = false
	s.listFail.succeed()
	s.listNext = now.Add(s.listPause())
	return out
}

// listPause returns a random time until the next list.
func (s *Spread) listPause() time.Duration {
	mean := s.config.FleetList * time.Duration(len(s.peers)+1)
	mean = min(max(mean, s.config.ListLeast), s.config.ListMost)
	return mean/2 + jitter(s.random, mean)
}

// ListFailed handles a failed list.
func (s *Spread) ListFailed(now time.Time) {
	s.listing = false
	s.listFail.fail(now, s.config.RetryFirst, s.config.RetryMost, s.random)
}

// Fetched handles a peer's response. The peer must have caught up itself, see
// Store.Newer; if it hasn't, FetchFailed must be called instead.
func (s *Spread) Fetched(now time.Time, daemon fleet.DaemonID, newer ...Revision) []Applied {
	out := s.store.Apply(newer...)
	s.caughtUpByPeer(now)
	s.endFetch(daemon)
	i, ok := s.find(daemon)
	switch {
	case !ok:
	case brought(out):
		s.peers[i].fail.succeed()
	default:
		s.failed(now, daemon)
	}
	return out
}

// caughtUpByPeer records that a peer brought the store up to date. It postpones
// a new daemon's first list: after a restart of all daemons, the few that listed
// first serve the rest.
func (s *Spread) caughtUpByPeer(now time.Time) {
	if !s.store.caughtUp && !s.listing {
		s.listNext = now.Add(s.listPause())
	}
	s.store.CaughtUp(now)
}

// brought reports whether any revision was put in force. A peer whose digest
// differs but that has nothing new is backed off like one that doesn't respond.
func brought(all []Applied) bool {
	return slices.ContainsFunc(all, func(a Applied) bool { return a.Effect == InForce })
}

// FetchFailed handles a fetch that failed, or whose peer hasn't caught up.
func (s *Spread) FetchFailed(now time.Time, daemon fleet.DaemonID) {
	s.endFetch(daemon)
	s.failed(now, daemon)
}

func (s *Spread) endFetch(daemon fleet.DaemonID) {
	if s.fetching == daemon {
		s.fetching = ""
	}
}

func (s *Spread) failed(now time.Time, daemon fleet.DaemonID) {
	if i, ok := s.find(daemon); ok {
		s.peers[i].fail.fail(now, s.config.RetryFirst, s.config.RetryMost, s.random)
	}
}

// Tick returns the calls that are due. Calling it a few times a second is
// enough.
func (s *Spread) Tick(now time.Time) []Action {
	var out []Action
	s.expire(now)
	if s.listDue(now) {
		s.listing, s.listEnd = true, now.Add(s.config.Timeout)
		out = append(out, Action{Kind: ListStore})
	}
	if daemon, ok := s.source(now); ok {
		s.fetching, s.fetchEnd = daemon, now.Add(s.config.Timeout)
		out = append(out, Action{Kind: FetchFromPeer, Peer: daemon, Have: s.store.Have()})
	}
	return out
}

// expire fails calls that have timed out.
func (s *Spread) expire(now time.Time) {
	if s.fetching != "" && !now.Before(s.fetchEnd) {
		s.FetchFailed(now, s.fetching)
	}
	if s.listing && !now.Before(s.listEnd) {
		s.ListFailed(now)
	}
}

func (s *Spread) listDue(now time.Time) bool {
	return !s.listing && !now.Before(s.listNext) && s.listFail.allows(now)
}

// source returns the peer to fetch from now, if any: the one with the newest
// version among those that may have something that this daemon lacks. Among
// equals it chooses at random, so that not all daemons ask the first one to have
// a change.
func (s *Spread) source(now time.Time) (fleet.DaemonID, bool) {
	if s.fetching != "" {
		return "", false
	}
	var best fleet.DaemonID
	newest, equals := uint64(0), 0
	for _, p := range s.peers {
		if !s.useful(p) || now.Before(s.dueAt(p)) || !p.fail.allows(now) {
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

// useful reports whether a peer may have what this daemon lacks. A peer whose
// newest version is lower isn't asked: it will fetch from this daemon, and if
// the digests still differ afterwards, its newest version is no longer lower.
func (s *Spread) useful(p *peer) bool {
	own := s.store.digest
	return !p.digest.IsZero() && p.digest != own && p.digest.Newest >= own.Newest
}

// dueAt returns the earliest time of a fetch for a peer's current digest. While
// the watch is healthy it leaves the watch time to deliver the change.
func (s *Spread) dueAt(p *peer) time.Time {
	switch {
	case s.watch && s.store.caughtUp:
		return p.heard.Add(s.config.WatchGrace + 2*p.delay)
	default:
		return p.heard.Add(p.delay)
	}
}
