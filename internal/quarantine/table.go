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

	mu        sync.Mutex
	now       time.Time // of the latest change
	seq       uint64
	crashes   []*record // sorted by time
	held      map[Key]time.Time
	heldParts map[Key]partHold
	trials    trials
	served    served
	timing    timing
	suspected map[Key]bool // may be the cause of a crash that no held request explains, or are held parts
	review    time.Time    // when the crashes are to be diagnosed again, zero: when one changes
	// The numbers of crashes, of what is held, and of the times at which something was newly held
	// are readable without the lock.
	crashCount atomic.Int64
	heldCount  atomic.Int64
	holds      atomic.Uint64
}

// NewTable returns an empty table. epoch identifies the run of the process and
// must differ from those of earlier runs.
func NewTable(epoch uint64) *Table {
	return &Table{
		epoch: epoch, held: map[Key]time.Time{}, heldParts: map[Key]partHold{}, suspected: map[Key]bool{},
		timing: newTiming(defaultInterval),
	}
}

// defaultInterval is that of the reports of a small fleet.
const defaultInterval = 250 * time.Millisecond

// SetReportInterval sets the time between two reports of a daemon of the fleet.
func (t *Table) SetReportInterval(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timing = newTiming(d)
}

// Held returns for how long a request must not be sent to endpoints, 0 if it may
// be sent. It calls id only if any request is held.
func (t *Table) Held(now time.Time, id func() *Identity) time.Duration {
	if t.heldCount.Load() == 0 {
		return 0
	}
	i := id()
	t.mu.Lock()
	defer t.mu.Unlock()
	left := max(t.held[i.Request].Sub(now), 0)
	for _, p := range i.Parts {
		k := PartOf(i.Scope, p)
		if h, ok := t.heldParts[k]; ok && h.binds(i) {
			left = max(left, t.partWait(now, k, h))
		}
	}
	return left
}

// HeldCount returns the number of requests and parts of prompts that are held.
func (t *Table) HeldCount() int { return int(t.heldCount.Load()) }

// HeldPartCount returns the number of parts of prompts that are held.
func (t *Table) HeldPartCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.heldParts)
}

// Holds returns how often something was newly held. A request that was found not to be held may
// still be sent while it is the same.
func (t *Table) Holds() uint64 { return t.holds.Load() }

// CrashCount returns the number of stored crashes.
func (t *Table) CrashCount() int { return int(t.crashCount.Load()) }

// Add adds crashes observed by this daemon or reported by others. It ignores
// those whose times are too old or too far in the future.
func (t *Table) Add(now time.Time, crashes ...Crash) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now = now
	changed := false
	for i := range crashes {
		c := &crashes[i]
		if now.Sub(c.At) < maxAge(c) && c.At.Sub(now) < maxFuture && t.addOne(c) {
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
	r := t.find(c)
	if r == nil {
		r = &record{Crash: Crash{Endpoint: c.Endpoint, Hash: c.Hash, At: c.At, Void: c.Void}}
		r.merge(c)
		t.crashes = append(t.crashes, r)
		t.touch(r)
		return true
	}
	changed, onlyCleared := r.merge(c)
	switch {
	case changed && onlyCleared:
		t.touchCleared(r)
	case changed:
		t.touch(r)
	}
	return changed
}

// find returns the stored crash that a report is of, or nil. If endpoints do not report when they
// started, several crashes can have the same incarnation. The lock must be held.
func (t *Table) find(c *Crash) *record {
	for _, r := range slices.Backward(t.crashes) {
		if r.same(c) {
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

// HasCrash reports whether a crash is stored already, and no daemon has found that it was none.
func (t *Table) HasCrash(c *Crash) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(c)
	return r != nil && !r.Crash.Void
}

func (t *Table) touch(r *record) {
	t.touchCleared(r)
	r.changed = t.seq
}

// touchCleared records that requests or parts were cleared of a crash, and nothing else has changed.
func (t *Table) touchCleared(r *record) {
	t.seq++
	r.touched = t.now
	r.cleared(t.seq)
}

// Void records that an endpoint did not crash, because it was leaving.
func (t *Table) Void(now time.Time, c *Crash) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now = now
	r := t.find(c)
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
	t.now = now
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
	i := id()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.now = now
	changed := t.clear(i.Request, began)
	for _, p := range i.Parts {
		changed = t.clearPart(PartOf(i.Scope, p), began) || changed
	}
	if !changed {
		return Change{}
	}
	return t.recompute(now)
}

// clear clears a request of all crashes before its response began of which it is suspected, and
// reports whether there are any. The lock must be held.
func (t *Table) clear(k Key, began time.Time) bool {
	if !t.suspected[k] {
		return false
	}
	changed := false
	for _, r := range t.crashes {
		if r.At.Before(began) && r.isSuspect(k) && r.Crash.clear(k) {
			t.touchCleared(r)
			changed = true
		}
	}
	return changed
}

// clearPart does the same for a part of its prompt. Later crashes count anew: a part that was
// served for long may crash endpoints of another version.
func (t *Table) clearPart(k Key, began time.Time) bool {
	if !t.suspected[k] {
		return false
	}
	changed := false
	for _, r := range t.crashes {
		if r.At.Before(began) && r.hasPart(k) && r.Crash.clearPart(k) {
			t.touchCleared(r)
			changed = true
		}
	}
	return changed
}

// Served records that an endpoint has served a request with a part of prompts. It takes no lock.
func (t *Table) Served(k Key) { t.served.add(k) }

// Tick removes old crashes, and takes decisions that were waiting for evidence. It should be
// called some times a second.
func (t *Table) Tick(now time.Time) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.served.halve(now)
	due := !t.review.IsZero() && !now.Before(t.review)
	if !due && !slices.ContainsFunc(t.crashes, func(r *record) bool { return t.expired(now, r) }) {
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
		if r.latest() > p.Seq {
			newer = append(newer, r)
		}
	}
	to := Position{Epoch: t.epoch, Seq: t.seq}
	if len(newer) > maxBatch {
		slices.SortFunc(newer, func(a, b *record) int { return cmp.Compare(a.latest(), b.latest()) })
		newer = newer[:maxBatch]
		to.Seq = newer[maxBatch-1].latest()
	}
	out := make([]Crash, len(newer))
	for i, r := range newer {
		out[i] = r.since(p.Seq)
	}
	return out, to
}

// maxStored bounds the crashes written to the store, maxStoredParts the parts of prompts with
// them, which both stay well below the largest size of an object there.
const (
	maxStored      = 256
	maxStoredParts = 1024
)

// Snapshot returns what is written to the store for daemons that start when no
// other is running: the newest crashes that have a suspect, with the parts that may be their
// causes.
func (t *Table) Snapshot() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Crash
	parts := 0
	for _, r := range slices.Backward(t.crashes) {
		if len(out) == maxStored || !r.anySuspect(func(Key) bool { return true }) {
			continue
		}
		c := r.clone()
		c.Prompts = t.openPrompts(r, maxStoredParts-parts)
		c.ClearedParts = slices.DeleteFunc(c.ClearedParts, func(k Key) bool {
			return !slices.ContainsFunc(c.Prompts, func(p Prompt) bool { return p.has(k) })
		})
		parts += c.partCount()
		out = append(out, c)
	}
	return out
}

// openPrompts returns the prompts with parts that may have caused a crash; if some of these are
// held, the prompts with those alone. They have at most limit parts. The lock must be held.
func (t *Table) openPrompts(r *record, limit int) []Prompt {
	held := r.partEvidence().any(t.isHeldPart)
	var out []Prompt
	for _, p := range r.Prompts {
		matters := slices.ContainsFunc(p.Parts, func(id uint64) bool {
			k := PartOf(p.Scope, id)
			return r.partEvidence().has(k) && (!held || t.isHeldPart(k))
		})
		if matters && len(p.Parts) <= limit {
			limit -= len(p.Parts)
			out = append(out, p)
		}
	}
	return out
}

// SuspectedIn returns the number of crashes of which a request or a part of prompts is suspected.
func (t *Table) SuspectedIn(k Key) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.crashes {
		if r.isSuspect(k) || r.hasPart(k) {
			n++
		}
	}
	return n
}

// recompute removes old crashes and updates everything derived from the others.
// The lock must be held.
func (t *Table) recompute(now time.Time) Change {
	slices.SortStableFunc(t.crashes, func(a, b *record) int { return a.At.Compare(b.At) })
	t.crashes = slices.Delete(t.crashes, 0, max(len(t.crashes)-maxCrashes, 0))
	before := t.holding()
	t.suspected = map[Key]bool{}
	t.holdParts(now, t.holdRequests(now))
	t.crashes = slices.DeleteFunc(t.crashes, func(r *record) bool { return t.expired(now, r) })
	t.crashCount.Store(int64(len(t.crashes)))
	t.heldCount.Store(int64(len(t.held) + len(t.heldParts)))
	change := diff(before, t.holding())
	if len(change.Held) > 0 {
		t.holds.Add(1)
	}
	return change
}

// holding returns all that is held.
func (t *Table) holding() map[Key]bool {
	out := make(map[Key]bool, len(t.held)+len(t.heldParts))
	for k := range t.held {
		out[k] = true
	}
	for k := range t.heldParts {
		out[k] = true
	}
	return out
}

// holdRequests updates which requests are held. Crashes under a part that is held count against a
// request only if another one does: daemons that hold the one cause of two under the same crashes
// must find the other one, and those that hold that other one must find the first. It returns the
// numbers of crashes of which the other requests are suspected.
func (t *Table) holdRequests(now time.Time) map[Key]int {
	var crashes []*Crash
	var open []*evidence
	likely := t.partQuery(now).likely(t.partCrashes(now))
	for _, r := range t.crashes {
		if now.Sub(r.At) >= retention {
			continue
		}
		crashes = append(crashes, &r.Crash)
		if !r.Crash.Void {
			e := r.requestEvidence()
			parts := r.partEvidence()
			e.explained = len(t.heldParts) > 0 && parts.any(t.isHeldPart)
			e.parts = parts.among(likely)
			open = append(open, e)
		}
	}
	t.held = heldUntil(crashes, slices.Collect(maps.Keys(t.held)))
	causes, rest := diagnose(withoutCauses(open, func(k Key) bool { return !t.held[k].IsZero() }))
	maps.Copy(t.held, heldUntil(crashes, causes))
	for _, e := range rest {
		for k := range e.open { // also of an explained crash, which may count with later ones
			t.suspected[k] = true
		}
	}
	return countCauses(rest)
}

func (t *Table) isHeldPart(k Key) bool {
	_, ok := t.heldParts[k]
	return ok
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
func diff(before, after map[Key]bool) Change {
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
