package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// minGroups is the number of groups of crashes, each within the correlation window, in which
// a part must be left over where they aren't isolated: several causes may crash endpoints so
// often that no crash is.
const minGroups = 5

// partDiagnosis counts the crashes that are not explained yet, by part.
type partDiagnosis struct {
	*diagnosis
	query   *partQuery
	known   map[Key]int // crashes whose suspects are all known
	present map[Key]int // crashes that count
	groups  map[Key]int // groups of crashes, each within the correlation window
	prompts map[Key]int // of these crashes, that have the part
	depth   map[Key]int // position in a prompt
	sole    map[Key]int // crashes in which no other part is left over that is in others too
	beside  map[Key]int // crashes from which other parts of the scope were excluded
	without map[Key]int // prompts of these crashes with the scope, but without the part
}

func newPartDiagnosis(crashes []*evidence, q *partQuery) *partDiagnosis {
	d := &partDiagnosis{
		diagnosis: newDiagnosis(crashes), query: q,
		known: map[Key]int{}, present: map[Key]int{}, groups: map[Key]int{}, prompts: map[Key]int{}, depth: map[Key]int{}, sole: map[Key]int{},
		beside: map[Key]int{}, without: map[Key]int{},
	}
	for _, c := range crashes {
		if c.sole && !c.fresh {
			for k := range c.open {
				d.sole[k]++
			}
		}
	}
	last := map[Key]time.Time{}
	for _, c := range crashes {
		for k, o := range c.open {
			if !d.complete(c, k) {
				continue
			}
			d.present[k]++
			if !c.fresh {
				d.known[k]++
			}
			d.prompts[k] += o.prompts
			d.without[k] += c.promptsOf(k.Scope) - o.prompts
			d.depth[k] = max(d.depth[k], o.depth)
			if c.hasExcluded(k.Scope) {
				d.beside[k]++
			}
			if d.groups[k] == 0 || c.at.Sub(last[k]) > correlationWindow {
				d.groups[k]++
				last[k] = c.at
			}
		}
	}
	return d
}

// complete reports whether a crash counts for a part: all daemons have reported their suspects, or
// the part alone was left over in others before.
func (d *partDiagnosis) complete(c *evidence, k Key) bool {
	return !c.fresh || d.sole[k] >= minIsolated
}

// mostSpecific returns the part with enough crashes that comes first, see before.
func (d *partDiagnosis) mostSpecific() (best Key, ok bool) {
	for k := range d.present {
		if d.enough(k) && (!ok || d.before(k, best)) {
			best, ok = k, true
		}
	}
	return best, ok
}

// before orders parts: one that was excluded from no crash comes first, then one where others of its
// scope were, so that it would have been too, then one that not all prompts of its scope have, since
// otherwise the hold is that of a whole route, then the one in the fewest crashes and prompts, the one
// that was served least, and the one that is deepest in its prompt.
func (d *partDiagnosis) before(a, b Key) bool {
	if d.query.excluded[a] != d.query.excluded[b] {
		return d.query.excluded[b]
	}
	if n := d.isNarrowed(a); n != d.isNarrowed(b) {
		return n
	}
	if all := d.without[a] == 0; all != (d.without[b] == 0) {
		return !all
	}
	return cmp.Or(
		cmp.Compare(d.known[a], d.known[b]),
		cmp.Compare(d.prompts[a], d.prompts[b]),
		cmp.Compare(d.query.served(a), d.query.served(b)),
		cmp.Compare(d.depth[b], d.depth[a]),
		cmp.Compare(a.ID, b.ID),
		cmp.Compare(a.Scope, b.Scope),
	) < 0
}

func (d *partDiagnosis) isNarrowed(k Key) bool { return d.beside[k] >= minIsolated }

// enough reports whether a part may be the cause of enough crashes, not all of which have another
// known cause.
func (d *partDiagnosis) enough(k Key) bool {
	return d.present[k] >= minCrashes && d.score(k) >= minCrashes && d.unexplained(k) > 0
}

// unexplained returns the number of crashes that a part may have caused and that have no other
// known cause.
func (d *partDiagnosis) unexplained(k Key) int {
	n := 0
	for _, c := range d.crashes {
		if c.has(k) && !c.explained && d.complete(c, k) {
			n++
		}
	}
	return n
}

// undoubted returns the number of these crashes that no repeated request may have caused.
func (d *partDiagnosis) undoubted(k Key) int {
	n := 0
	for _, c := range d.crashes {
		if c.has(k) && !c.explained && !c.doubtful && d.complete(c, k) {
			n++
		}
	}
	return n
}

// score returns the number of crashes, or of groups of them, that count against a part.
func (d *partDiagnosis) score(k Key) int {
	switch {
	case d.isolated[k] >= minIsolated:
		return d.counted[k]
	case d.groups[k] >= minGroups:
		return d.groups[k]
	default:
		return 0
	}
}

// widens reports whether a part is the cause of crashes beyond those that other parts explain: it
// was not excluded where others were, so that two more crashes are enough.
func (d *partDiagnosis) widens(k Key, rest *partDiagnosis) bool {
	return !d.query.excluded[k] && d.score(k) > minCrashes && rest.unexplained(k) >= minIsolated && d.cause(k).narrowed
}

// cause returns what is known of a part.
func (d *partDiagnosis) cause(k Key) partCause {
	var out partCause
	excluded := 0
	for _, c := range d.crashes {
		if !c.has(k) || !d.complete(c, k) {
			continue
		}
		if out.crashes == 0 {
			out.first, out.with = c.at, slices.Collect(maps.Keys(c.open))
		}
		if c.hasExcluded(k.Scope) {
			excluded++
		}
		out.with = slices.DeleteFunc(out.with, func(o Key) bool { return !c.together(k, o) })
		out.crashes++
		out.gap, out.newest = c.at.Sub(out.newest), c.at
	}
	out.narrowed = excluded >= minIsolated
	return out
}
