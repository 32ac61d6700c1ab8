package engine

import "sync"

// DefaultRegistryBlocks bounds a Registry: 16 Mi tokens, far more than the
// engines of a stand-in deployment hold.
const DefaultRegistryBlocks = 1 << 20

// Registry remembers the hashes of blocks that any engine of a deployment has
// computed, so that an engine can count what it computes again. It forgets the
// oldest when full. Safe for concurrent use.
type Registry struct {
	mu    sync.Mutex
	seen  map[uint64]struct{}
	order []uint64 // ring of hashes, oldest at next when full
	next  int
	limit int
}

// NewRegistry returns a Registry for limit blocks; 0 is DefaultRegistryBlocks.
func NewRegistry(limit int) *Registry {
	if limit <= 0 {
		limit = DefaultRegistryBlocks
	}
	return &Registry{seen: make(map[uint64]struct{}), limit: limit}
}

// Add remembers a block.
func (r *Registry) Add(hash uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.seen[hash]; ok {
		return
	}
	r.seen[hash] = struct{}{}
	if len(r.order) < r.limit {
		r.order = append(r.order, hash)
		return
	}
	delete(r.seen, r.order[r.next])
	r.order[r.next] = hash
	r.next = (r.next + 1) % r.limit
}

// Has reports whether a block was computed before.
func (r *Registry) Has(hash uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.seen[hash]
	return ok
}
