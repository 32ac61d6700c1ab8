package backpressure

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Fleet is the running daemons, among which the limits are shared.
type Fleet struct {
	self   uint64 // hash of the own ID
	others []uint64
}

// NewFleet returns a fleet of which self is one daemon.
func NewFleet(self fleet.DaemonID, running []fleet.DaemonID) *Fleet {
	f := &Fleet{self: rendezvous.Key(string(self))}
	for _, id := range running {
		if id != self {
			f.others = append(f.others, rendezvous.Key(string(id)))
		}
	}
	return f
}

// Size returns the number of running daemons.
func (f *Fleet) Size() int { return len(f.others) + 1 }

// ShareOf returns this daemon's share of a limit in force. Daemons with the same view of
// the fleet agree on who sends. A nil Fleet is one that isn't known yet, and sends nothing.
func (f *Fleet) ShareOf(now time.Time, s *Statement) Share {
	if f == nil {
		return Share{}
	}
	age := now.Sub(s.At).Seconds()
	key := uint64(s.Endpoint)<<32 | rotation(s.PerSecond, age)
	return ShareOf(s.PerSecond, f.Rank(key), f.Size())
}

// Rank returns how many other daemons rank before this one for a key.
func (f *Fleet) Rank(key uint64) int {
	own, rank := rendezvous.ScoreHashed(key, f.self), 0
	for _, other := range f.others {
		if rendezvous.ScoreHashed(key, other) > own {
			rank++
		}
	}
	return rank
}
