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

// timing is how fast daemons learn from each other, which depends on the size of the fleet.
type timing struct {
	// reports is how long after a crash the suspects of all daemons are known: a report to a hub,
	// a relay to another hub, and a report to that one.
	reports time.Duration
	// evidence is how long after the first crash under a part the fleet knows of what has been
	// written on popular parts since: all learn of the crash, some write a response, and all learn
	// of that.
	evidence time.Duration
	// someEvidence is the same where such evidence has arrived about other parts.
	someEvidence time.Duration
}

const (
	// relayTime is the time for a relay between hubs, and for what a report waits for.
	relayTime = 150 * time.Millisecond
	// writeTime is the time until an endpoint has written a response for Settled.
	writeTime = 500 * time.Millisecond
)

// newTiming returns the timing of a fleet whose daemons report at an interval.
func newTiming(interval time.Duration) timing {
	all := 2*interval + relayTime
	return timing{reports: all, evidence: 2*all + writeTime, someEvidence: all + writeTime}
}

// partCause is a part that crashes the endpoints that begin to write a response on it.
type partCause struct {
	// with are the parts that are left over in each prompt that has the part, itself included: what
	// crashes endpoints may be any of them, or all together.
	with          []Key
	crashes       int
	first, newest time.Time
	gap           time.Duration // between the last two crashes
	// narrowed says that other parts with the same scope were excluded, so that evidence about
	// this one would have arrived too.
	narrowed bool
}

// partQuery is what a diagnosis of parts depends on beside the crashes.
type partQuery struct {
	now time.Time
	timing
	served   func(Key) uint32 // how often a part was served lately
	excluded map[Key]bool     // parts that were excluded from some crash lately
}

// lately is how long a part that was excluded from a crash counts as an unlikely cause of others.
const lately = time.Minute

// excludedLately returns the parts that were excluded from some crash.
func (q *partQuery) excludedLately(crashes []*evidence) map[Key]bool {
	out := map[Key]bool{}
	for _, c := range crashes {
		for _, k := range c.excluded {
			out[k] = out[k] || q.now.Sub(c.at) < lately
		}
	}
	return out
}

// diagnose returns the parts of prompts that crash endpoints. crashes must be sorted by time.
// review is when the same crashes may lead to another result, zero: never.
//
// Most parts of a prompt are shared with requests that run, and an endpoint that has written a
// response on a part since a crash excludes it as the cause. So a part is found if it is left over
// in enough crashes, once the evidence has had time to arrive. Where several parts are left over, the
// one is found first, and explains these crashes, that was excluded from no other crash, that is in
// the fewest crashes, and in the fewest prompts there: parts of most prompts are in most crashes too.
func (q *partQuery) diagnose(crashes []*evidence) (found map[Key]partCause, review time.Time) {
	found = map[Key]partCause{}
	crashes = onlyFrequent(crashes)
	for _, c := range crashes {
		if c.fresh = q.now.Sub(c.at) < q.reports; c.fresh {
			review = earliest(review, c.at.Add(q.reports))
		}
	}
	q.excluded = q.excludedLately(crashes)
	all := newPartDiagnosis(crashes, q)
	rest := all
	doubtful := map[Key]bool{}
	for {
		k, ok := rest.mostSpecific(doubtful)
		if !ok {
			break
		}
		c := rest.cause(k)
		if !c.narrowed && (rest.unexplained(k) < q.needed(k) || rest.groups[k] < minCrashes) {
			doubtful[k] = true
			continue
		}
		if due := q.due(k, &c); q.now.Before(due) {
			review = earliest(review, due)
		} else {
			found[k] = c
		}
		rest = newPartDiagnosis(withoutCauses(rest.crashes, func(o Key) bool { return o == k }), q)
	}
	for k := range all.present {
		if _, ok := found[k]; !ok && all.widens(k, rest) {
			found[k] = all.cause(k)
		}
	}
	return found, review
}

// The numbers of crashes without another known cause that are needed to hold a part without evidence
// about others: endpoints that are all down serve nothing that could exclude a part. popular is the
// number of requests with a part lately from which it takes the larger one.
const (
	minUnproven        = 2 * minCrashes
	minUnprovenPopular = 3 * minCrashes
	popular            = 20
)

func (q *partQuery) needed(k Key) int {
	if q.excluded[k] || q.served(k) >= popular {
		return minUnprovenPopular
	}
	return minUnproven
}

// due returns when a part may be held.
func (q *partQuery) due(k Key, c *partCause) time.Time {
	if c.narrowed && !q.excluded[k] {
		return c.first.Add(q.someEvidence)
	}
	return c.first.Add(q.evidence)
}

func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// onlyFrequent returns the crashes with those possible causes that are left over in enough of them:
// the others can't be found.
func onlyFrequent(crashes []*evidence) []*evidence {
	n := map[Key]int{}
	for _, c := range crashes {
		for k := range c.open {
			n[k]++
		}
	}
	if !slices.ContainsFunc(slices.Collect(maps.Values(n)), func(n int) bool { return n >= minCrashes }) {
		return nil
	}
	out := make([]*evidence, len(crashes))
	for i, c := range crashes {
		kept := *c
		kept.open = map[Key]openCause{}
		repeated := 0
		for k, o := range c.open {
			if n[k] >= minCrashes {
				kept.open[k] = o
			}
			if n[k] >= minIsolated {
				repeated++
			}
		}
		kept.sole = repeated == 1
		out[i] = &kept
	}
	return out
}

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
}

func newPartDiagnosis(crashes []*evidence, q *partQuery) *partDiagnosis {
	d := &partDiagnosis{
		diagnosis: newDiagnosis(crashes), query: q,
		known: map[Key]int{}, present: map[Key]int{}, groups: map[Key]int{}, prompts: map[Key]int{}, depth: map[Key]int{}, sole: map[Key]int{},
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
			d.depth[k] = max(d.depth[k], o.depth)
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
func (d *partDiagnosis) mostSpecific(except map[Key]bool) (best Key, ok bool) {
	for k := range d.present {
		if !except[k] && d.enough(k) && (!ok || d.before(k, best)) {
			best, ok = k, true
		}
	}
	return best, ok
}

// before orders parts: one that was excluded from no crash comes first, then the one in the fewest
// crashes and prompts, the one that was served least, and the one that is deepest in its prompt.
func (d *partDiagnosis) before(a, b Key) bool {
	if d.query.excluded[a] != d.query.excluded[b] {
		return d.query.excluded[b]
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
		if slices.ContainsFunc(c.excluded, func(o Key) bool { return o.Scope == k.Scope }) {
			excluded++
		}
		out.with = slices.DeleteFunc(out.with, func(o Key) bool { return !c.together(k, o) })
		out.crashes++
		out.gap, out.newest = c.at.Sub(out.newest), c.at
	}
	out.narrowed = excluded >= minIsolated
	return out
}
