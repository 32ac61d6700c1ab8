package quarantine

import (
	"maps"
	"slices"
	"time"
)

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
	for {
		k, ok := rest.mostSpecific()
		if !ok {
			break
		}
		c := rest.cause(k)
		proven := c.narrowed || rest.groups[k] >= minCrashes && q.isProven(k, rest)
		switch due := q.due(k, &c); {
		case proven && q.now.Before(due):
			review = earliest(review, due)
		case proven:
			found[k] = c
		}
		// A cause that isn't proven yet stands in the way of others too.
		rest = newPartDiagnosis(withoutCauses(rest.crashes, func(o Key) bool { return o == k }), q)
	}
	for k := range all.present {
		if _, ok := found[k]; !ok && all.widens(k, rest) {
			found[k] = all.cause(k)
		}
	}
	return found, review
}

// likely returns the parts that are probably the cause of some crashes, whatever crashed at the same
// moments: they are left over in enough groups of crashes, in which other parts were excluded.
func (q *partQuery) likely(crashes []*evidence) map[Key]bool {
	out := map[Key]bool{}
	excluded := q.excludedLately(crashes)
	for k, n := range countGroups(crashes) {
		if n >= minCrashes && !excluded[k] && causeIn(crashes, k).narrowed {
			out[k] = true
		}
	}
	return out
}

// The numbers of crashes without another known cause that are needed to hold a part without evidence
// about others: endpoints that are all down serve nothing that could exclude a part. popular is the
// number of requests with a part lately from which it takes the larger one. Crashes of a request
// that is not held yet count in the larger one only, since its own parts are in all of them.
const (
	minUnproven        = 2 * minCrashes
	minUnprovenPopular = 3 * minCrashes
	popular            = 20
)

// isProven reports whether there are so many crashes that no evidence about others is needed.
func (q *partQuery) isProven(k Key, d *partDiagnosis) bool {
	if d.unexplained(k) >= minUnprovenPopular {
		return true
	}
	return !q.excluded[k] && q.served(k) < popular && d.undoubted(k) >= minUnproven
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

// countGroups returns the number of groups of crashes, each within the correlation window, by part.
func countGroups(crashes []*evidence) map[Key]int {
	n := map[Key]int{}
	last := map[Key]time.Time{}
	for _, c := range crashes {
		for k := range c.open {
			if n[k] == 0 || c.at.Sub(last[k]) > correlationWindow {
				n[k]++
				last[k] = c.at
			}
		}
	}
	return n
}

// onlyFrequent returns the crashes with those possible causes that are left over in enough of them:
// the others can't be found.
func onlyFrequent(crashes []*evidence) []*evidence {
	n := countCauses(crashes)
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
