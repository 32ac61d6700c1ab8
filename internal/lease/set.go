package lease

import (
	"math/rand/v2"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Set is one daemon's side of all shards of a duty. Rendezvous hashing ranks the
// alive daemons for each shard, and the first is its preferred holder, so that
// shards spread evenly and daemons don't contend for them. It isn't safe for
// concurrent use.
type Set struct {
	config Config
	self   fleet.DaemonID
	random *rand.Rand
	shards []Shard
	leases []*Lease
	ranks  []int // this daemon's rank for each shard, from 0

	observeAt    time.Time // next read of the shards that this daemon is a candidate for
	sweepAt      time.Time // next list of all shards
	listing      bool      // a list is in flight
	listDeadline time.Time // when the list in flight counts as lost
}

// NewSet returns the set of a duty's shards. Call Alive before Tick: until then
// self ranks first for every shard.
func NewSet(config Config, self fleet.DaemonID, shards []Shard, random *rand.Rand, now time.Time) *Set {
	s := &Set{
		config: config,
		self:   self,
		random: random,
		shards: shards,
		leases: make([]*Lease, len(shards)),
		ranks:  make([]int, len(shards)),
	}
	for i := range s.leases {
		s.leases[i] = newLease(&s.config, self, i, random)
	}
	s.observeAt = now.Add(time.Duration(random.Float64() * float64(config.StartSpread)))
	s.sweepAt = now.Add(jitter(random, config.SweepInterval, 0.5))
	return s
}

// Alive sets the daemons that membership reports as alive, in any order, with or
// without self.
func (s *Set) Alive(daemons []fleet.DaemonID) {
	for i, shard := range s.shards {
		s.ranks[i] = rank(rendezvous.Key(shard.Object()), s.self, daemons)
	}
}

// rank returns how many other daemons rank before self for a key.
func rank(key uint64, self fleet.DaemonID, daemons []fleet.DaemonID) int {
	own := rendezvous.Score(key, string(self))
	before := 0
	for _, d := range daemons {
		if d != self && rendezvous.Score(key, string(d)) > own {
			before++
		}
	}
	return before
}

// Lease returns a shard's lease, which decides whether orders may be sent.
func (s *Set) Lease(shard int) *Lease { return s.leases[shard] }

// Shards returns the shards, in order of their indexes.
func (s *Set) Shards() []Shard { return s.shards }

// Leave stops acquiring leases and releases those that are held, each once its
// orders have ended.
func (s *Set) Leave() {
	for _, l := range s.leases {
		l.leaving, l.releasing = true, true
	}
}

// Left reports, after Leave, whether no lease is held and no write is in flight.
func (s *Set) Left(now time.Time) bool {
	for _, l := range s.leases {
		if l.valid(now) || l.pending != nil {
			return false
		}
	}
	return true
}

// Tick returns the calls that are due. Call it a few times a second.
func (s *Set) Tick(now time.Time) []Action {
	var out []Action
	if s.listing && !now.Before(s.listDeadline) {
		s.ListFailed()
	}
	for i, l := range s.leases {
		if a, due := l.tick(now, s.ranks[i]); due {
			out = append(out, a)
		}
	}
	return s.appendReads(now, out)
}

// appendReads adds the reads by which a daemon follows leases that it doesn't
// hold.
func (s *Set) appendReads(now time.Time, out []Action) []Action {
	if s.listing {
		return out
	}
	if !now.Before(s.sweepAt) {
		s.sweepAt = now.Add(jitter(s.random, s.config.SweepInterval, 0.5))
		return s.list(now, out)
	}
	if now.Before(s.observeAt) {
		return out
	}
	s.observeAt = now.Add(jitter(s.random, s.config.ObserveInterval, 0.1))
	candidates := s.candidateShards()
	if len(candidates) > s.config.ListThreshold {
		return s.list(now, out)
	}
	for _, i := range candidates {
		out = append(out, s.leases[i].readBack(now))
	}
	return out
}

func (s *Set) list(now time.Time, out []Action) []Action {
	s.listing = true
	s.listDeadline = now.Add(s.config.CallTimeout)
	return append(out, Action{Kind: List})
}

// candidateShards returns the shards that this daemon is a candidate for and
// doesn't hold, except those with a call in flight.
func (s *Set) candidateShards() []int {
	var out []int
	for i, l := range s.leases {
		busy := l.held || l.leaving || l.pending != nil || l.reading
		if !busy && l.candidate {
			out = append(out, i)
		}
	}
	return out
}

// Observed handles the answer to a Read.
func (s *Set) Observed(now time.Time, shard int, o Observation) { s.leases[shard].readDone(now, o) }

// ReadFailed handles the failure of a Read.
func (s *Set) ReadFailed(now time.Time, shard int) { s.leases[shard].readFailed(now) }

// Listed handles the answer to a List: the observation of each shard, by index.
func (s *Set) Listed(now time.Time, all []Observation) {
	s.listing = false
	for i, o := range all {
		s.leases[i].readDone(now, o)
	}
}

// ListFailed handles the failure of a List.
func (s *Set) ListFailed() {
	s.listing = false
	for _, l := range s.leases {
		l.followedSince = time.Time{}
	}
}

// Wrote handles the answer that a Write took effect and which version it got.
func (s *Set) Wrote(now time.Time, a Action, version uint64) {
	s.leases[a.Shard].wrote(now, a.State.Write, version)
}

// WriteConflict handles the answer that a Write's condition failed, with the
// current object.
func (s *Set) WriteConflict(now time.Time, a Action, current Observation) {
	s.leases[a.Shard].writeConflict(now, a.State.Write, current)
}

// WriteAmbiguous handles the outcome that a Write may or may not have taken effect:
// it had no answer, or one that doesn't show which.
func (s *Set) WriteAmbiguous(now time.Time, a Action) {
	s.leases[a.Shard].writeAmbiguous(now, a.State.Write)
}
