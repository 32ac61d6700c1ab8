package quarantine

import (
	"sync/atomic"
	"time"
)

// served counts how often parts of prompts were served lately: an upper bound, since different parts
// may share counters. It is safe for concurrent use.
type served struct {
	counts   [servedRows][servedCounters]atomic.Uint32
	halvedAt atomic.Int64 // Unix ns
}

const (
	servedRows     = 2
	servedCounters = 2048
	// halving is the interval at which counts are halved.
	halving = 5 * time.Minute
)

func (s *served) add(k Key) {
	for row := range s.counts {
		s.counts[row][counter(k, row)].Add(1)
	}
}

func (s *served) count(k Key) uint32 {
	least := s.counts[0][counter(k, 0)].Load()
	for row := range s.counts {
		least = min(least, s.counts[row][counter(k, row)].Load())
	}
	return least
}

// halve halves all counts if the interval is over.
func (s *served) halve(now time.Time) {
	last := s.halvedAt.Load()
	if last != 0 && now.Sub(time.Unix(0, last)) < halving {
		return
	}
	s.halvedAt.Store(now.UnixNano())
	if last == 0 {
		return
	}
	for row := range s.counts {
		for i := range s.counts[row] {
			c := &s.counts[row][i]
			c.Store(c.Load() / 2)
		}
	}
}

// counter returns the index of a part's counter in a row.
func counter(k Key, row int) uint64 {
	const mixer = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	h := (k.ID ^ uint64(k.Scope)<<32 ^ uint64(row)) * mixer
	return (h ^ h>>29) * mixer >> 53 // 11 bits: servedCounters
}
