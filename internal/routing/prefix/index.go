// Package prefix is an index of bounded size of the leading prompt blocks that
// each engine probably has in its cache. A block is identified by its chained
// hash, an engine by a handle: a small integer, which may be reused for another
// engine after Index.Forget.
package prefix

// Bounds of an Index.
const (
	// ways is the number of entries in a bucket. A new entry replaces the least
	// recently used one.
	ways = 4
	// maxHolders is the number of engines kept for one block. A block that more
	// engines hold is at the start of many prompts and costs little to recompute.
	maxHolders = 4
	// DefaultCacheBlocks is the assumed capacity of an engine that reported none.
	DefaultCacheBlocks = 4096
)

// Match is an engine that probably holds leading blocks of a prompt.
type Match struct {
	Handle uint32 // of the engine
	Blocks int    // number of leading blocks held
}

// holder is an engine that holds a block. stamp is the value of engine.clock at
// the block's last use there.
type holder struct {
	handle uint32
	stamp  uint32
}

type entry struct {
	hash    uint64
	used    uint32 // Index.clock at the last use
	count   uint32 // of holders in use
	holders [maxHolders]holder
}

// engine counts the blocks that were added to an engine's cache. An engine evicts
// its least recently used block, so a block is assumed to be evicted once more
// blocks than the capacity have been added since its last use.
type engine struct {
	clock    uint32 // blocks added so far
	capacity uint32 // in blocks
}

// Index maps blocks to the engines that probably hold them, as inferred from the
// prompts sent there and from the engines' cache events. It may be wrong in both
// directions. The memory for its entries is allocated by NewIndex and does not
// grow. It is not safe for concurrent use.
type Index struct {
	buckets [][ways]entry
	mask    uint64
	clock   uint32   // uses of any block so far
	engines []engine // by handle
}

// NewIndex returns an index of at least the given number of entries, of 48 bytes
// each. The number is rounded up to a power of two.
func NewIndex(blocks int) *Index {
	n := 1
	for n*ways < blocks {
		n *= 2
	}
	return &Index{buckets: make([][ways]entry, n), mask: uint64(n - 1)}
}

// SetCapacity sets the number of blocks that the engine's cache can hold. It
// ignores a number that is not positive.
func (x *Index) SetCapacity(handle uint32, blocks int) {
	if blocks > 0 {
		x.engine(handle).capacity = uint32(blocks)
	}
}

// forgetGap, in blocks, exceeds the capacity of any engine's cache. Blocks stored
// before it are assumed to be evicted, whatever capacity is reported later. The
// clock wraps around after 256 gaps, by when old entries have been replaced.
const forgetGap = 1 << 24

// Forget drops all blocks of an engine, because its cache is lost or its handle
// is about to be reused.
func (x *Index) Forget(handle uint32) { x.engine(handle).clock += forgetGap }

// Store records that the engine has just stored or used the block.
func (x *Index) Store(handle uint32, hash uint64) {
	g := x.engine(handle)
	x.clock++
	e := x.insert(hash)
	e.used = x.clock
	for i := range e.holders[:e.count] {
		if e.holders[i].handle == handle {
			e.holders[i].stamp = g.clock
			return
		}
	}
	g.clock++
	x.addHolder(e, holder{handle: handle, stamp: g.clock})
}

// Evicted records an event that the engine evicted the block. Events are late. As
// an engine evicts its least recently used blocks, an event for a block that was
// used there recently must be older than that use. It is ignored; otherwise the
// engine of a running conversation would appear to have nothing cached.
func (x *Index) Evicted(handle uint32, hash uint64) {
	e := x.find(hash)
	if e == nil {
		return
	}
	g := x.engine(handle)
	for i := range e.holders[:e.count] {
		if e.holders[i].handle != handle {
			continue
		}
		if g.clock-e.holders[i].stamp >= g.capacity/2 {
			e.removeHolder(i)
		}
		return
	}
}

// Lost records that events of the engine were lost. About half of them were
// blocks stored, each of which evicted an older one.
func (x *Index) Lost(handle uint32, events uint64) {
	g := x.engine(handle)
	g.clock += uint32(min(events/2, uint64(g.capacity)+1))
}

// insert returns the entry of hash. If there is none, it takes a free entry of
// the bucket or replaces the least recently used one.
func (x *Index) insert(hash uint64) *entry {
	if e := x.find(hash); e != nil {
		return e
	}
	b := &x.buckets[hash&x.mask]
	victim := &b[0]
	for i := range b {
		if b[i].count == 0 {
			victim = &b[i]
			break
		}
		if x.clock-b[i].used > x.clock-victim.used {
			victim = &b[i]
		}
	}
	*victim = entry{hash: hash}
	return victim
}

// find returns the entry of hash, or nil.
func (x *Index) find(hash uint64) *entry {
	b := &x.buckets[hash&x.mask]
	for i := range b {
		if b[i].hash == hash && b[i].count > 0 {
			return &b[i]
		}
	}
	return nil
}

// addHolder adds h. If the entry is full, h replaces the holder that is nearest
// to eviction.
func (x *Index) addHolder(e *entry, h holder) {
	if int(e.count) < len(e.holders) {
		e.holders[e.count] = h
		e.count++
		return
	}
	oldest := 0
	for i := range e.holders {
		if x.age(e.holders[i]) > x.age(e.holders[oldest]) {
			oldest = i
		}
	}
	e.holders[oldest] = h
}

func (e *entry) removeHolder(i int) {
	e.count--
	e.holders[i] = e.holders[e.count]
}

// age returns the fraction of the engine's cache that was replaced since the
// block's last use, in thousandths.
func (x *Index) age(h holder) uint64 {
	g := x.engine(h.handle)
	return uint64(g.clock-h.stamp) * 1000 / uint64(g.capacity)
}

// live reports whether the block is probably still in the engine's cache.
func (x *Index) live(h holder) bool {
	g := &x.engines[h.handle]
	return g.clock-h.stamp <= g.capacity
}

// engine returns the engine of a handle, which it adds if there is none. The
// pointer is valid until the next call.
func (x *Index) engine(handle uint32) *engine {
	for int(handle) >= len(x.engines) {
		x.engines = append(x.engines, engine{capacity: DefaultCacheBlocks})
	}
	return &x.engines[handle]
}
