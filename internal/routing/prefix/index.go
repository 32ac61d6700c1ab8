// Package prefix keeps a bounded index of which engine is believed to hold
// which leading blocks of prompts, each named by its chained hash.
package prefix

// Bounds of an Index.
const (
	// ways is the number of entries that share a bucket; the least recently
	// used of them is replaced.
	ways = 4
	// maxHolders is the number of engines remembered for one block. A block that
	// more engines hold is the start of everybody's prompt and costs little
	// to recompute.
	maxHolders = 4
	// DefaultCacheBlocks is an engine's assumed capacity until it reports one.
	DefaultCacheBlocks = 4096
)

// Match says that an engine is believed to hold a prompt's leading blocks.
type Match struct {
	Handle uint32 // the engine's number, as given to Store
	Blocks int    // leading blocks held
}

// holder is one engine's copy of a block. stamp is the engine's clock when
// the block was last used there.
type holder struct {
	handle uint32
	stamp  uint32
}

type entry struct {
	hash    uint64
	used    uint32 // the index's clock at the last use
	count   uint32 // holders in use
	holders [maxHolders]holder
}

// engine tracks how many blocks entered an engine's cache. An engine evicts
// the least recently used block, so a block is taken as evicted once as many
// others have entered since its last use as the cache holds.
type engine struct {
	clock    uint32
	capacity uint32
}

// Index remembers, in memory fixed at New, which engines are believed to hold
// which blocks: from prompts sent there and from the engines' cache events.
// It is a hint and may be wrong in both directions. Not safe for concurrent
// use.
type Index struct {
	buckets [][ways]entry
	mask    uint64
	clock   uint32
	engines []engine
}

// NewIndex returns an index of about blocks entries of 48 bytes each,
// rounded up to a power of two.
func NewIndex(blocks int) *Index {
	n := 1
	for n*ways < blocks {
		n *= 2
	}
	return &Index{buckets: make([][ways]entry, n), mask: uint64(n - 1)}
}

// SetCapacity tells how many blocks the engine's cache holds.
func (x *Index) SetCapacity(handle uint32, blocks int) {
	if blocks > 0 {
		x.engine(handle).capacity = uint32(blocks)
	}
}

// forgetGap, in blocks, is more than any engine's cache holds, so what was
// stored before it is taken as evicted whatever capacity is reported later.
// The clock wraps after 256 of them, by when old entries were replaced.
const forgetGap = 1 << 24

// Forget drops all knowledge of an engine: its cache is lost, or its slot is
// about to be reused.
func (x *Index) Forget(handle uint32) { x.engine(handle).clock += forgetGap }

// Store notes that the engine holds the block, or used it just now.
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

// Evicted notes an engine's word that it dropped the block. Events are late:
// one about a block that was used there lately is older than that use, since
// an engine drops its least recently used blocks, and is ignored; otherwise
// the warm engine of a running conversation would look cold.
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

// Lost notes that events of the engine went missing: about half of them were
// blocks stored, each of which pushed out an older one.
func (x *Index) Lost(handle uint32, events uint64) {
	g := x.engine(handle)
	g.clock += uint32(min(events/2, uint64(g.capacity)+1))
}

// insert returns the entry of hash, replacing its bucket's least recently
// used entry when there is none.
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

func (x *Index) find(hash uint64) *entry {
	b := &x.buckets[hash&x.mask]
	for i := range b {
		if b[i].hash == hash && b[i].count > 0 {
			return &b[i]
		}
	}
	return nil
}

// addHolder adds h, in place of the holder that is nearest to eviction when
// all places are taken.
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

// age is the share of the engine's cache that was replaced since the last
// use, in thousandths.
func (x *Index) age(h holder) uint64 {
	g := x.engine(h.handle)
	return uint64(g.clock-h.stamp) * 1000 / uint64(g.capacity)
}

func (x *Index) live(h holder) bool {
	g := &x.engines[h.handle]
	return g.clock-h.stamp <= g.capacity
}

func (x *Index) engine(handle uint32) *engine {
	for int(handle) >= len(x.engines) {
		x.engines = append(x.engines, engine{capacity: DefaultCacheBlocks})
	}
	return &x.engines[handle]
}
