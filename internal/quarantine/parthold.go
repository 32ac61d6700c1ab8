package quarantine

import (
	"slices"
	"time"
)

// partHold is a part of prompts that is held.
type partHold struct {
	partCause
	until time.Time // when it may be tried
	// workspace is the only one whose requests with the part have crashed endpoints, and whose
	// requests are held; shared says that there are several, and that all are. Any workspace can
	// name another one's parts.
	workspace uint32
	shared    bool
}

// binds reports whether a request is held: it has all parts that may be the cause together.
func (h *partHold) binds(id *Identity) bool {
	if !h.shared && h.workspace != id.Workspace() {
		return false
	}
	return !slices.ContainsFunc(h.with, func(k Key) bool { return !id.has(k) })
}

// holdParts updates which parts are held. Crashes of a held request alone don't make a part of its
// prompt the cause. suspected are the numbers of crashes of which other requests are suspected. The
// lock must be held.
func (t *Table) holdParts(now time.Time, suspected map[Key]int) {
	for _, r := range t.crashes {
		e := r.partEvidence()
		e.explained = r.anySuspect(func(k Key) bool { return !t.held[k].IsZero() })
		e.doubtful = r.anySuspect(func(k Key) bool { return suspected[k] >= minCrashes })
	}
	all := t.partCrashes(now)
	var found map[Key]partCause
	q := t.partQuery(now)
	found, t.review = q.diagnose(all)
	t.keepHeld(all, found)
	t.trials.keep(found)
	t.heldParts = make(map[Key]partHold, len(found))
	for k, c := range found {
		t.heldParts[k] = t.newPartHold(k, c)
		for _, o := range c.with {
			t.suspected[o] = true
		}
	}
	for _, e := range all {
		if e.any(t.isHeldPart) {
			continue
		}
		for k := range e.open {
			t.suspected[k] = true
		}
	}
}

func (t *Table) partQuery(now time.Time) *partQuery {
	return &partQuery{now: now, timing: t.timing, served: t.served.count}
}

// partCrashes returns the crashes that count against parts.
func (t *Table) partCrashes(now time.Time) []*evidence {
	var out []*evidence
	for _, r := range t.crashes {
		if !r.Crash.Void && now.Sub(r.At) < maxHold {
			out = append(out, r.partEvidence())
		}
	}
	return out
}

// keepHeld adds the parts that were held and may still be the cause of enough crashes, which may no
// longer look isolated, unless those that were found are the cause.
func (t *Table) keepHeld(all []*evidence, found map[Key]partCause) {
	rest := withoutCauses(all, func(k Key) bool { _, ok := found[k]; return ok })
	for k := range t.heldParts {
		if _, ok := found[k]; ok {
			continue
		}
		if c := causeIn(rest, k); c.crashes >= minCrashes {
			found[k] = c
		}
	}
}

// causeIn returns what is known of a part by some crashes.
func causeIn(crashes []*evidence, k Key) partCause {
	return (&partDiagnosis{diagnosis: &diagnosis{crashes: crashes}}).cause(k) // none is fresh
}

func (t *Table) newPartHold(k Key, c partCause) partHold {
	h := partHold{partCause: c, until: c.trialAt()}
	first := true
	for _, r := range t.crashes {
		if !r.hasPart(k) {
			continue
		}
		for i := range r.Prompts {
			if p := &r.Prompts[i]; p.has(k) {
				h.shared = h.shared || !first && p.Workspace != h.workspace
				h.workspace, first = p.Workspace, false
			}
		}
	}
	return h
}

// Evidence is why a part is held.
type Evidence struct {
	Crashes  int
	Excluded int           // other parts that were excluded as the causes of these crashes
	Age      time.Duration // from the first of these crashes to the newest
	Shared   bool          // all workspaces' requests with the part are held
	With     []Key         // parts that a request must have too to be held
}

// Evidence returns why a part is held, the zero value if it isn't.
func (t *Table) Evidence(k Key) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.heldParts[k]
	if !ok {
		return Evidence{}
	}
	with := slices.DeleteFunc(slices.Clone(h.with), func(o Key) bool { return o == k })
	excluded := map[Key]bool{}
	for _, r := range t.crashes {
		if r.hasPart(k) {
			for _, other := range r.ClearedParts {
				excluded[other] = true
			}
		}
	}
	return Evidence{Crashes: h.crashes, Excluded: len(excluded), Age: h.newest.Sub(h.first), Shared: h.shared, With: with}
}
