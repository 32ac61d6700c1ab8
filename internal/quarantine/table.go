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
	// maxCrashes bounds the stored crashes: typically some hundred kilobytes at
	// most, and enough to hold 300 requests at once.
	maxCrashes = 1024
	// maxFuture is how far in the future the time of a reported crash may be;
	// the clock of the daemon that reports it may be wrong.
	maxFuture = time.Minute
	// minRestartTime is less than any endpoint takes to restart: one that responds
	// sooner after its reported exit had not exited.
	minRestartTime = 1500 * time.Millisecond
)

// Position says which changes of a table a reader has received: all up to number
// Seq in the process run identified by Epoch.
type Position struct{ Epoch, Seq uint64 }

// Change lists the requests that are newly held, and those no longer held.
type Change struct{ Held, Released []Key }

// Table stores the crashes of the fleet's endpoints and which requests are held
// because of them. It is safe for concurrent use. The parameter now of its
// methods is the time by the fleet's clock.
type Table struct {
	epoch uint64

	mu         sync.Mutex
	seq        uint64
	crashes    []*record // sorted by time
	held       map[Key]time.Time
	suspected  map[Key]bool // requests that may be the cause of an unexplained crash
	crashCount atomic.Int64 // len(crashes), readable without the lock; heldCount is len(held)
	heldCount  atomic.Int64
}

// record is a crash with the sequence number of its latest change.
type record struct {
	Crash
	changed uint64
}

// NewTable returns an empty table. epoch identifies the run of the process and
// must differ from those of earlier runs.
func NewTable(epoch uint64) *Table {
	return &Table{epoch: epoch, held: map[Key]time.Time{}, suspected: map[Key]bool{}}
}

// Held returns for how long a request must not be sent to endpoints, 0 if it may
// be sent. It calls id only if any request is held.
func (t *Table) Held(now time.Time, id func() *Identity) time.Duration {
	if t.heldCount.Load() == 0 {
		return 0
	}
	k := id().Request
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.held[k].Sub(now), 0)
}

// HeldCount returns the number of requests that are held.
func (t *Table) HeldCount() int { return int(t.heldCount.Load()) }

// CrashCount returns the number of stored crashes.
func (t *Table) CrashCount() int { return int(t.crashCount.Load()) }

// Add adds crashes observed by this daemon or reported by others. It ignores
// those whose times are too old or too far in the future.
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

// addOne adds or merges one crash and reports whether that changed anything. The
// lock must be held.
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

// find returns the crash of an incarnation at about the given time, or nil. If
// endpoints do not report when they started, several crashes can have the same
// incarnation. The lock must be held.
func (t *Table) find(inc Incarnation, at time.Time) *record {
	for _, r := range slices.Backward(t.crashes) {
		if r.Endpoint == inc && r.At.Sub(at).Abs() < minRestartTime {
			return r
		}
	}
	return nil
}

// recent returns the crash of an incarnation if it happened less than
// minRestartTime ago, or nil. The lock must be held.
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

// Void records that an endpoint that exited at about the given time did not crash,
// because it was leaving.
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

// Responded records that an endpoint has sent the first piece of its response to a request that
// was sent to it at sent: it had not exited before that.
func (t *Table) Responded(now, sent time.Time, inc Incarnation) Change {
	if t.crashCount.Load() == 0 {
		return Change{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.recent(now, inc)
	if r == nil || r.Crash.Void || !sent.After(r.At) {
		return Change{}
	}
	r.Crash.Void = true
	t.touch(r)
	return t.recompute(now)
}

// Ran records that an endpoint has run a request whose response began at began, without a
// crash. It calls id only if any crash is stored.
func (t *Table) Ran(now, began time.Time, id func() *Identity) Change {
	if t.crashCount.Load() == 0 {
		return Change{}
	}
	k := id().Request
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.clear(k) {
		return Change{}
	}
	return t.recompute(now)
}

// clear clears a request of all crashes of which it is suspected, and reports
// whether there are any. The lock must be held.
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

// Tick removes crashes older than the retention. It should be called about once a
// second.
func (t *Table) Tick(now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := slices.ContainsFunc(t.crashes, func(r *record) bool { return now.Sub(r.At) >= retention })
	if !old {
		return Change{}
	}
	return t.recompute(now)
}

// maxBatch bounds the crashes that Since returns at once: some kilobytes.
const maxBatch = 64

// Position returns the position after the latest change.
func (t *Table) Position() Position {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Position{Epoch: t.epoch, Seq: t.seq}
}

// Since returns the crashes that changed after position p, at most maxBatch, in
// order of change if there are more, and the position of a reader that has them.
// After a position of another epoch it returns all.
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

// maxStored bounds the crashes written to the store, which stay well below the
// largest size of an object there.
const maxStored = 256

// Snapshot returns what is written to the store for daemons that start when no
// other is running: the newest crashes that have a suspect.
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

// SuspectedIn returns the number of crashes of which a request is suspected.
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

// recompute removes old crashes and updates everything derived from the others.
// The lock must be held.
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

// heldUntil returns the end of the hold for each of the keys that is suspected of
// enough crashes: when the oldest of its newest minCrashes crashes is removed.
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

// diff returns the keys that are only in after, and those only in before.
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
