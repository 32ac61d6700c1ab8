package lease

import (
	"fmt"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// Shard is a part of a control duty, which one daemon at a time does.
type Shard struct {
	Duty  string
	Index int // from 0
	Of    int // number of the duty's shards
}

// Shards returns the n shards of a duty.
func Shards(duty string, n int) []Shard {
	out := make([]Shard, n)
	for i := range out {
		out[i] = Shard{Duty: duty, Index: i, Of: n}
	}
	return out
}

// ShardOf returns the index, from 0 to n-1, of the shard that a key belongs to.
func ShardOf(key string, n int) int { return int(rendezvous.Key(key) % uint64(n)) }

// Object returns the name of the shard's object. It includes the number of
// shards: daemons configured with different numbers map keys to shards
// differently, and must not share leases.
func (s Shard) Object() string { return fmt.Sprintf("%s-%d-of-%d", s.Duty, s.Index, s.Of) }
