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

// binds reports whether the requests of a workspace are held.
func (h *partHold) binds(workspace uint32) bool { return h.shared || h.workspace == workspace }

// holdParts updates which parts are held. Crashes of a held request alone don't make a part of its
// prompt the cause. The lock must be held.
func (t *Table) holdParts(now time.Time) {
	var all []*evidence
	for _, r := range t.crashes {
		if !r.Crash.Void && now.Sub(r.At) < maxHold {
			e := r.partEvidence()
			e.explained = r.anySuspect(func(k Key) bool { return !t.held[k].IsZero() })
			all = append(all, e)
		}
	}
	var found map[Key]partCause
	found, t.review = diagnoseParts(now, all)
	for k := range t.heldParts {
		if _, ok := found[k]; ok {
			continue
		}
		if c := causeIn(all, k); c.crashes >= minCrashes && !superseded(all, k, c, found) {
			found[k] = c
		}
	}
	t.heldParts = make(map[Key]partHold, len(found))
	t.trials.keep(found)
	for k, c := range found {
		t.heldParts[k] = t.newPartHold(k, c)
		t.suspected[k] = true
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

func (t *Table) newPartHold(k Key, c partCause) partHold {
	h := partHold{partCause: c, until: c.newest.Add(retention)}
	first := true
	for _, r := range t.crashes {
		if !r.hasPart(k) {
			continue
		}
		for _, p := range r.Parts {
			if p.Part != k {
				continue
			}
			h.shared = h.shared || !first && p.Workspace != h.workspace
			h.workspace, first = p.Workspace, false
		}
	}
	return h
}

// causeIn returns the crashes of which a part may be the cause.
func causeIn(all []*evidence, k Key) partCause {
	return (&partDiagnosis{diagnosis: &diagnosis{crashes: all}}).cause(k)
}

// superseded reports whether another part is the cause of all crashes of k and of more.
func superseded(all []*evidence, k Key, c partCause, found map[Key]partCause) bool {
	for o, other := range found {
		alone := slices.ContainsFunc(all, func(e *evidence) bool { return e.has(k) && !e.has(o) })
		if other.crashes > c.crashes && !alone {
			return true
		}
	}
	return false
}

// Evidence is why a part is held.
type Evidence struct {
	Crashes  int
	Excluded int           // other parts that were excluded as the causes of these crashes
	Age      time.Duration // from the first of these crashes to the newest
	Shared   bool          // all workspaces' requests with the part are held
}

// Evidence returns why a part is held, the zero value if it isn't.
func (t *Table) Evidence(k Key) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	h, ok := t.heldParts[k]
	if !ok {
		return Evidence{}
	}
	excluded := map[Key]bool{}
	for _, r := range t.crashes {
		if r.hasPart(k) {
			for _, other := range r.ClearedParts {
				excluded[other] = true
			}
		}
	}
	return Evidence{Crashes: h.crashes, Excluded: len(excluded), Age: h.newest.Sub(h.first), Shared: h.shared}
}
