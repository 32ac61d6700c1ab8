package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// remembered is how long a crash is: a request that is held and goes on
	// coming ends three endpoints in that time, one that is held wrongly is
	// served again after it.
	remembered = 30 * time.Minute
	// mostCrashes bounds what is remembered, some hundred kilobytes at the most
	// that are usual: enough to hold 300 requests at once.
	mostCrashes = 1024
	// ahead is how far a crash may lie in the future by the clock of who told it.
	ahead = time.Minute
	// answersWithin is how long after its end an endpoint that answers wasn't
	// ended: one that starts again takes longer.
	answersWithin = 1500 * time.Millisecond
)

// Position is what somebody has of a table: all that had changed up to Seq of the
// run of a process that Epoch names.
type Position struct{ Epoch, Seq uint64 }

// Change is what an event changed.
type Change struct{ Held, Released []Key }

// Table keeps the crashes of the fleet and which requests are held for them. It
// is safe for concurrent use; now is the fleet's time.
type Table struct {
	epoch uint64

	mu      sync.Mutex
	seq     uint64
	crashes []*entry // in order of time
	held    map[Key]time.Time
	suspect map[Key]bool // may be a crash's cause
	size    atomic.Int64 // of crashes, and of held below, without the lock
	holding atomic.Int64
}

// entry is a crash with the sequence number of its last change.
type entry struct {
	Crash
	changed uint64
}

// NewTable returns an empty table. epoch differs from each earlier run's.
func NewTable(epoch uint64) *Table {
	return &Table{epoch: epoch, held: map[Key]time.Time{}, suspect: map[Key]bool{}}
}

// Held returns for how long a request isn't to be sent to endpoints, 0 where it
// may be. key is asked only where some request is held.
func (t *Table) Held(now time.Time, key func() Key) time.Duration {
	if t.holding.Load() == 0 {
		return 0
	}
	k := key()
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.held[k].Sub(now), 0)
}

// Holding returns how many requests are held.
func (t *Table) Holding() int { return int(t.holding.Load()) }

// Size returns how many crashes are remembered.
func (t *Table) Size() int { return int(t.size.Load()) }

// Add takes crashes, of this daemon's or told by others.
func (t *Table) Add(now time.Time, crashes ...Crash) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for i := range crashes {
		c := &crashes[i]
		if now.Sub(c.At) < remembered && c.At.Sub(now) < ahead && t.take(c) {
			changed = true
		}
	}
	if !changed {
		return Change{}
	}
	return t.settle(now)
}

// take adds one crash. The lock is held.
func (t *Table) take(c *Crash) bool {
	e := t.find(c.Endpoint, c.At)
	if e == nil {
		e = &entry{Crash: Crash{Endpoint: c.Endpoint, At: c.At, Void: c.Void}}
		e.merge(c)
		t.crashes = append(t.crashes, e)
		t.touch(e)
		return true
	}
	if !e.merge(c) {
		return false
	}
	t.touch(e)
	return true
}

// find returns an endpoint's crash at about a time: where it isn't told when an
// endpoint started, it can end more than once in what looks like one life. The
// lock is held.
func (t *Table) find(l Life, at time.Time) *entry {
	for _, e := range slices.Backward(t.crashes) {
		if e.Endpoint == l && e.At.Sub(at).Abs() < answersWithin {
			return e
		}
	}
	return nil
}

// newest returns an endpoint's crash if it is as young as answersWithin. The lock
// is held.
func (t *Table) newest(now time.Time, l Life) *entry {
	for _, e := range slices.Backward(t.crashes) {
		if now.Sub(e.At) >= answersWithin {
			return nil
		}
		if e.Endpoint == l {
			return e
		}
	}
	return nil
}

func (t *Table) touch(e *entry) {
	t.seq++
	e.changed = t.seq
}

// Void says that an endpoint that ended at about a time did not crash: it was
// leaving.
func (t *Table) Void(now time.Time, l Life, at time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(l, at)
	if e == nil || e.Crash.Void {
		return Change{}
	}
	e.Crash.Void = true
	t.touch(e)
	return t.settle(now)
}

// Ran says that an endpoint gave a first piece of an answer to a request that
// was sent at a time: it can be run, and the endpoint is there.
func (t *Table) Ran(now, sent time.Time, l Life, key func() Key) Change {
	if t.size.Load() == 0 {
		return Change{}
	}
	k := key()
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.clear(k)
	if e := t.newest(now, l); e != nil && !e.Crash.Void && sent.After(e.At) {
		e.Crash.Void, changed = true, true
		t.touch(e)
	}
	if !changed {
		return Change{}
	}
	return t.settle(now)
}

// clear notes that a request isn't the cause of what it is suspected of. The
// lock is held.
func (t *Table) clear(k Key) bool {
	if !t.suspect[k] {
		return false
	}
	for _, e := range t.crashes {
		if e.suspects(k) && e.Crash.clear(k) {
			t.touch(e)
		}
	}
	return true
}

// Tick forgets what is too old. It should be called about once a second.
func (t *Table) Tick(now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := slices.ContainsFunc(t.crashes, func(e *entry) bool { return now.Sub(e.At) >= remembered })
	if !old {
		return Change{}
	}
	return t.settle(now)
}

// tellAtOnce bounds the crashes that are told at once: some kilobytes.
const tellAtOnce = 64

// Position returns the newest position.
func (t *Table) Position() Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Position{Epoch: t.epoch, Seq: t.seq}
}

// Since returns what has changed after a position, as much as is told at once,
// and the position that it leads to.
func (t *Table) Since(p Position) ([]Crash, Position) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p.Epoch != t.epoch {
		p.Seq = 0
	}
	var newer []*entry
	for _, e := range t.crashes {
		if e.changed > p.Seq {
			newer = append(newer, e)
		}
	}
	to := Position{Epoch: t.epoch, Seq: t.seq}
	if len(newer) > tellAtOnce {
		slices.SortFunc(newer, func(a, b *entry) int { return cmp.Compare(a.changed, b.changed) })
		newer = newer[:tellAtOnce]
		to.Seq = newer[tellAtOnce-1].changed
	}
	out := make([]Crash, len(newer))
	for i, e := range newer {
		out[i] = e.clone()
	}
	return out, to
}

// mostKept bounds the crashes that are kept in the store, well below the size
// that an object may have.
const mostKept = 256

// Keep returns what is to be kept for daemons that start after all have ended:
// the newest crashes that say something of a request.
func (t *Table) Keep() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Crash
	for _, e := range slices.Backward(t.crashes) {
		if len(out) < mostKept && e.any(func(Key) bool { return true }) {
			out = append(out, e.clone())
		}
	}
	return out
}

// Under returns how many crashes a request is suspected of.
func (t *Table) Under(k Key) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.crashes {
		if e.suspects(k) {
			n++
		}
	}
	return n
}

// settle brings all that follows from the crashes up to date. The lock is held.
func (t *Table) settle(now time.Time) Change {
	t.crashes = slices.DeleteFunc(t.crashes, func(e *entry) bool { return now.Sub(e.At) >= remembered })
	slices.SortStableFunc(t.crashes, func(a, b *entry) int { return a.At.Compare(b.At) })
	t.crashes = slices.Delete(t.crashes, 0, max(len(t.crashes)-mostCrashes, 0))
	crashes := make([]*Crash, len(t.crashes))
	for i, e := range t.crashes {
		crashes[i] = &e.Crash
	}
	before := t.held
	t.held = untils(crashes, slices.Collect(maps.Keys(before)))
	guilty, open := judge(unexplained(crashes, func(k Key) bool { return !t.held[k].IsZero() }))
	maps.Copy(t.held, untils(crashes, guilty))
	t.suspect = map[Key]bool{}
	for _, c := range open {
		for _, s := range c.Suspects {
			t.suspect[s.Request] = c.suspects(s.Request) || t.suspect[s.Request]
		}
	}
	t.size.Store(int64(len(crashes)))
	t.holding.Store(int64(len(t.held)))
	return changes(before, t.held)
}

// untils returns until when requests are held, of those that are under enough
// crashes: until one of these is forgotten.
func untils(crashes []*Crash, keys []Key) map[Key]time.Time {
	under := make(map[Key][]time.Time, len(keys))
	for _, k := range keys {
		under[k] = nil
	}
	for _, c := range crashes {
		for _, s := range c.Suspects {
			if times, asked := under[s.Request]; asked && c.suspects(s.Request) {
				under[s.Request] = append(times, c.At)
			}
		}
	}
	out := make(map[Key]time.Time, len(keys))
	for k, times := range under {
		if len(times) >= enough {
			out[k] = times[len(times)-enough].Add(remembered)
		}
	}
	return out
}

func changes(before, after map[Key]time.Time) Change {
	var out Change
	for k := range after {
		if _, ok := before[k]; !ok {
			out.Held = append(out.Held, k)
		}
	}
	for k := range before {
		if _, ok := after[k]; !ok {
			out.Released = append(out.Released, k)
		}
	}
	return out
}
