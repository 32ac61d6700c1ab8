package prefix

import (
	"testing"

	"github.com/zeebo/xxh3"
	"gotest.tools/v3/assert"
)

func chainOf(seed uint64, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		seed = xxh3.HashStringSeed("block", seed)
		out[i] = seed
	}
	return out
}

func lookup(x *Index, blocks []uint64) []Match {
	matches, _ := x.Lookup(blocks, nil)
	return matches
}

func store(x *Index, handle uint32, blocks []uint64) {
	for _, b := range blocks {
		x.Store(handle, b)
	}
}

func TestLookupFindsTheLongestMatch(t *testing.T) {
	x := NewIndex(1 << 12)
	blocks := chainOf(1, 300)
	store(x, 3, blocks[:217])
	store(x, 5, blocks[:40])
	got := lookup(x, blocks)
	assert.Equal(t, got[len(got)-1], Match{Handle: 3, Blocks: 217})
	assert.Equal(t, len(lookup(x, chainOf(2, 50))), 0)
}

// Some cache events are lost. If a block that is missing from the index hid those
// after it, a conversation would be recomputed although an engine holds it.
func TestLookupToleratesLostEvents(t *testing.T) {
	x := NewIndex(1 << 12)
	blocks := chainOf(1, 64)
	for i, b := range blocks {
		if i%2 == 0 {
			x.Store(1, b)
		}
	}
	got := lookup(x, blocks)
	assert.Equal(t, len(got), 1)
	assert.Assert(t, got[0].Blocks >= 63)
}

func TestBlocksExpireByTheEnginesCapacity(t *testing.T) {
	x := NewIndex(1 << 12)
	x.SetCapacity(1, 100)
	old := chainOf(1, 10)
	store(x, 1, old)
	store(x, 1, chainOf(2, 90))
	assert.Equal(t, len(lookup(x, old)), 1)
	store(x, 1, chainOf(3, 12))
	assert.Equal(t, len(lookup(x, old)), 0)
}

// An engine evicts a block, the conversation's next turn stores it again, and only
// then the event of the eviction arrives. If it were applied, the turn after that
// would be recomputed at another engine.
func TestLateEvictionOfBlockInUseIsIgnored(t *testing.T) {
	x := NewIndex(1 << 12)
	x.SetCapacity(1, 100)
	blocks := chainOf(1, 4)
	store(x, 1, blocks)
	x.Evicted(1, blocks[3])
	assert.DeepEqual(t, lookup(x, blocks), []Match{{Handle: 1, Blocks: 4}})
	store(x, 1, chainOf(2, 60))
	x.Evicted(1, blocks[3])
	assert.DeepEqual(t, lookup(x, blocks), []Match{{Handle: 1, Blocks: 3}})
}

func TestForgottenEngineHoldsNothing(t *testing.T) {
	x := NewIndex(1 << 12)
	blocks := chainOf(1, 4)
	store(x, 1, blocks)
	x.Forget(1)
	assert.Equal(t, len(lookup(x, blocks)), 0)
}

func TestIndexReplacesLeastRecentlyUsedEntries(t *testing.T) {
	x := NewIndex(64)
	x.SetCapacity(1, 1<<20)
	for seed := range uint64(50) {
		store(x, 1, chainOf(seed+10, 8))
	}
	last := chainOf(59, 8)
	assert.Equal(t, lookup(x, last)[0].Blocks, 8)
	assert.Equal(t, len(lookup(x, chainOf(10, 8))), 0)
}

// Most events of a busy engine are lost. If only those received counted, the index
// would go on listing blocks that were evicted long ago.
func TestLostEventsAgeHeldBlocks(t *testing.T) {
	x := NewIndex(1 << 12)
	x.SetCapacity(1, 100)
	blocks := chainOf(1, 4)
	store(x, 1, blocks)
	x.Lost(1, 150)
	assert.Equal(t, len(lookup(x, blocks)), 1)
	x.Lost(1, 60)
	assert.Equal(t, len(lookup(x, blocks)), 0)
}
