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
	// retention is how long a crash is kept. A request that keeps crashing
	// endpoints thus crashes three of them in that time, and one that is held
	// by mistake is served again afterwards.
	retention = 30 * time.Minute
	// maxCrashes bounds what is remembered, some hundred kilobytes at the most
	// that are usual: enough to hold 300 requests at once.
	maxCrashes = 1024
	// maxFuture is how far a crash may lie in the future by the clock of who told it.
	maxFuture = time.Minute
	// minRestartTime is how long after its end an endpoint that answers wasn't
	// ended: one that starts again takes longer.
	minRestartTime = 1500 * time.Millisecond
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

	mu         sync.Mutex
	seq        uint64
	crashes    []*record // in order of time
	held       map[Key]time.Time
	suspected  map[Key]bool // may be a crash's cause
	crashCount atomic.Int64 // of crashes, and of held below, without the lock
	heldCount  atomic.Int64
}

// record is a crash with the sequence number of its last change.
type record struct {
	Crash
	changed uint64
}

// NewTable returns an empty table. epoch differs from each earlier run's.
func NewTable(epoch uint64) *Table {
	return &Table{epoch: epoch, held: map[Key]time.Time{}, suspected: map[Key]bool{}}
}

// Held returns for how long a request isn't to be sent to endpoints, 0 where it
// may be. key is asked only where some request is held.
func (t *Table) Held(now time.Time, key func() Key) time.Duration {
	if t.heldCount.Load() == 0 {
		return 0
	}
	k := key()
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.held[k].Sub(now), 0)
}

// HeldCount returns how many requests are held.
func (t *Table) HeldCount() int { return int(t.heldCount.Load()) }

// CrashCount returns how many crashes are remembered.
func (t *Table) CrashCount() int { return int(t.crashCount.Load()) }

// Add takes crashes, of this daemon's or told by others.
func (t *Table) Add(now time.Time, crashes ...Crash) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := false
	for i := range crashes {
		c := &crashes[i]
		if now.Sub(c.At) < retention && c.At.Sub(now) < maxFuture && t.addOne(c) {
			changed = true
		}
	}
	if !changed {
		return Change{}
	}
	return t.recompute(now)
}

// addOne adds one crash. The lock is held.
func (t *Table) addOne(c *Crash) bool {
	r := t.find(c.Endpoint, c.At)
	if r == nil {
		r = &record{Crash: Crash{Endpoint: c.Endpoint, At: c.At, Void: c.Void}}
		r.merge(c)
		t.crashes = append(t.crashes, r)
		t.touch(r)
		return true
	}
	if !r.merge(c) {
		return false
	}
	t.touch(r)
	return true
}

// find returns an endpoint's crash at about a time: where it isn't told when an
// endpoint started, it can end more than once in what looks like one life. The
// lock is held.
func (t *Table) find(inc Incarnation, at time.Time) *record {
	for _, r := range slices.Backward(t.crashes) {
		if r.Endpoint == inc && r.At.Sub(at).Abs() < minRestartTime {
			return r
		}
	}
	return nil
}

// recent returns an endpoint's crash if it is as young as answersWithin. The lock
// is held.
func (t *Table) recent(now time.Time, inc Incarnation) *record {
	for _, r := range slices.Backward(t.crashes) {
		if now.Sub(r.At) >= minRestartTime {
			return nil
		}
		if r.Endpoint == inc {
			return r
		}
	}
	return nil
}

func (t *Table) touch(r *record) {
	t.seq++
	r.changed = t.seq
}

// Void says that an endpoint that ended at about a time did not crash: it was
// leaving.
func (t *Table) Void(now time.Time, inc Incarnation, at time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(inc, at)
	if r == nil || r.Crash.Void {
		return Change{}
	}
	r.Crash.Void = true
	t.touch(r)
	return t.recompute(now)
}

// Ran says that an endpoint gave a first piece of an answer to a request that
// was sent at a time: it can be run, and the endpoint is there.
func (t *Table) Ran(now, sent time.Time, inc Incarnation, key func() Key) Change {
	if t.crashCount.Load() == 0 {
		return Change{}
	}
	k := key()
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.clear(k)
	if r := t.recent(now, inc); r != nil && !r.Crash.Void && sent.After(r.At) {
		r.Crash.Void, changed = true, true
		t.touch(r)
	}
	if !changed {
		return Change{}
	}
	return t.recompute(now)
}

// clear notes that a request isn't the cause of what it is suspected of. The
// lock is held.
func (t *Table) clear(k Key) bool {
	if !t.suspected[k] {
		return false
	}
	for _, r := range t.crashes {
		if r.isSuspect(k) && r.Crash.clear(k) {
			t.touch(r)
		}
	}
	return true
}

// Tick forgets what is too old. It should be called about once a second.
func (t *Table) Tick(now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := slices.ContainsFunc(t.crashes, func(r *record) bool { return now.Sub(r.At) >= retention })
	if !old {
		return Change{}
	}
	return t.recompute(now)
}

// maxBatch bounds the crashes that are told at once: some kilobytes.
const maxBatch = 64

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
	var newer []*record
	for _, r := range t.crashes {
		if r.changed > p.Seq {
			newer = append(newer, r)
		}
	}
	to := Position{Epoch: t.epoch, Seq: t.seq}
	if len(newer) > maxBatch {
		slices.SortFunc(newer, func(a, b *record) int { return cmp.Compare(a.changed, b.changed) })
		newer = newer[:maxBatch]
		to.Seq = newer[maxBatch-1].changed
	}
	out := make([]Crash, len(newer))
	for i, r := range newer {
		out[i] = r.clone()
	}
	return out, to
}

// maxStored bounds the crashes that are kept in the store, well below the size
// that an object may have.
const maxStored = 256

// Snapshot returns what is to be kept for daemons that start after all have ended:
// the newest crashes that say something of a request.
func (t *Table) Snapshot() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Crash
	for _, r := range slices.Backward(t.crashes) {
		if len(out) < maxStored && r.anySuspect(func(Key) bool { return true }) {
			out = append(out, r.clone())
		}
	}
	return out
}

// SuspectedIn returns how many crashes a request is suspected of.
func (t *Table) SuspectedIn(k Key) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.crashes {
		if r.isSuspect(k) {
			n++
		}
	}
	return n
}

// recompute brings all that follows from the crashes up to date. The lock is held.
func (t *Table) recompute(now time.Time) Change {
	t.crashes = slices.DeleteFunc(t.crashes, func(r *record) bool { return now.Sub(r.At) >= retention })
	slices.SortStableFunc(t.crashes, func(a, b *record) int { return a.At.Compare(b.At) })
	t.crashes = slices.Delete(t.crashes, 0, max(len(t.crashes)-maxCrashes, 0))
	crashes := make([]*Crash, len(t.crashes))
	for i, r := range t.crashes {
		crashes[i] = &r.Crash
	}
	before := t.held
	t.held = heldUntil(crashes, slices.Collect(maps.Keys(before)))
	causes, unexplained := diagnose(withoutCauses(crashes, func(k Key) bool { return !t.held[k].IsZero() }))
	maps.Copy(t.held, heldUntil(crashes, causes))
	t.suspected = map[Key]bool{}
	for _, c := range unexplained {
		for _, s := range c.Suspects {
			t.suspected[s.Request] = c.isSuspect(s.Request) || t.suspected[s.Request]
		}
	}
	t.crashCount.Store(int64(len(crashes)))
	t.heldCount.Store(int64(len(t.held)))
	return diff(before, t.held)
}

// heldUntil returns until when requests are held, of those that are under enough
// crashes: until one of these is forgotten.
func heldUntil(crashes []*Crash, keys []Key) map[Key]time.Time {
	crashTimes := make(map[Key][]time.Time, len(keys))
	for _, k := range keys {
		crashTimes[k] = nil
	}
	for _, c := range crashes {
		for _, s := range c.Suspects {
			if times, wanted := crashTimes[s.Request]; wanted && c.isSuspect(s.Request) {
				crashTimes[s.Request] = append(times, c.At)
			}
		}
	}
	out := make(map[Key]time.Time, len(keys))
	for k, times := range crashTimes {
		if len(times) >= minCrashes {
			out[k] = times[len(times)-minCrashes].Add(retention)
		}
	}
	return out
}

func diff(before, after map[Key]time.Time) Change {
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
