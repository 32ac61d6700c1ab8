package quarantine

import "time"

const (
	// evidenceTime is how long after the first crash under a part the fleet knows of what has been
	// written on popular parts since: a first piece, Settled, and two reports of a large fleet.
	evidenceTime = 2 * time.Second
	// minEvidenceTime is the same where such evidence has arrived about other parts.
	minEvidenceTime = 1200 * time.Millisecond
	// minGroups is the number of groups of crashes, each within the correlation window, of which
	// a part must be the likeliest cause where they aren't isolated: several causes may crash
	// endpoints so often that no crash is.
	minGroups = 5
)

// partCause is a part that crashes the endpoints that begin to write a response on it.
type partCause struct {
	crashes       int
	first, newest time.Time
}

// diagnoseParts returns the parts of prompts that crash endpoints. crashes must be sorted by
// time. review is when the same crashes may lead to another result, zero: never.
//
// Most parts of a prompt are shared with requests that run, and an endpoint that has written a
// response on a part since a crash excludes it as the cause. So a part is found if it is left over
// in enough crashes. Until the evidence has had time to arrive, that also takes other parts which
// were excluded.
func diagnoseParts(now time.Time, crashes []*evidence) (found map[Key]partCause, review time.Time) {
	found = map[Key]partCause{}
	crashes = onlyFrequent(crashes)
	for {
		d := newPartDiagnosis(crashes)
		causes, later := d.causes(now)
		if review.IsZero() || !later.IsZero() && later.Before(review) {
			review = later
		}
		if len(causes) == 0 {
			return found, review
		}
		for _, k := range causes {
			found[k] = d.cause(k)
		}
		crashes = withoutCauses(crashes, func(k Key) bool { _, ok := found[k]; return ok })
	}
}

// onlyFrequent returns the crashes with those possible causes that are left over in enough of them:
// the others can neither be found nor score higher than one that is.
func onlyFrequent(crashes []*evidence) []*evidence {
	n := map[Key]int{}
	for _, c := range crashes {
		for k := range c.open {
			n[k]++
		}
	}
	out := make([]*evidence, len(crashes))
	for i, c := range crashes {
		kept := *c
		kept.open = map[Key]openCause{}
		for k, o := range c.open {
			if n[k] >= minCrashes {
				kept.open[k] = o
			}
		}
		out[i] = &kept
	}
	return out
}

// partDiagnosis counts the crashes that are not explained yet, by part.
type partDiagnosis struct {
	*diagnosis
	groups map[Key]int
}

func newPartDiagnosis(crashes []*evidence) *partDiagnosis {
	d := &partDiagnosis{diagnosis: newDiagnosis(crashes), groups: map[Key]int{}}
	last := map[Key]time.Time{}
	for _, c := range crashes {
		for k := range c.open {
			if d.groups[k] == 0 || c.at.Sub(last[k]) > correlationWindow {
				d.groups[k]++
				last[k] = c.at
			}
		}
	}
	return d
}

// causes returns the parts that are the likeliest cause of enough crashes, and when others may be
// found.
func (d *partDiagnosis) causes(now time.Time) (out []Key, review time.Time) {
	for k := range d.groups {
		if !d.enough(k) {
			continue
		}
		strict, shared := d.likeliest(k)
		due := d.cause(k).first.Add(evidenceTime)
		if strict >= minCrashes && d.narrowed(k) {
			due = d.cause(k).first.Add(minEvidenceTime)
		}
		switch {
		case shared < minCrashes:
		case !now.Before(due):
			out = append(out, k)
		case review.IsZero() || due.Before(review):
			review = due
		}
	}
	return out, review
}

// enough reports whether a part may be the cause of enough crashes, not all of which have another
// known cause.
func (d *partDiagnosis) enough(k Key) bool {
	if d.score(k) < minCrashes {
		return false
	}
	for _, c := range d.crashes {
		if c.has(k) && !c.explained {
			return true
		}
	}
	return false
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

// likeliest returns in how many crashes a part scores higher than each other part, and in how many
// it does so or is, of those that score the same, the deepest in its prompt: the parts before it
// are in more prompts.
func (d *partDiagnosis) likeliest(k Key) (strict, shared int) {
	score := d.score(k)
	for _, c := range d.crashes {
		own, ok := c.open[k]
		if !ok {
			continue
		}
		highest, deepest := true, true
		for o, other := range c.open {
			if o == k {
				continue
			}
			s := d.score(o)
			highest = highest && s < score
			deepest = deepest && (s < score || s == score && other.depth < own.depth)
		}
		if highest {
			strict++
		}
		if deepest {
			shared++
		}
	}
	return strict, shared
}

// narrowed reports whether other parts were excluded from enough of a part's crashes.
func (d *partDiagnosis) narrowed(k Key) bool {
	n := 0
	for _, c := range d.crashes {
		if c.has(k) && c.cleared {
			n++
		}
	}
	return n >= minIsolated
}

func (d *partDiagnosis) cause(k Key) partCause {
	var out partCause
	for _, c := range d.crashes {
		if !c.has(k) {
			continue
		}
		if out.crashes == 0 {
			out.first = c.at
		}
		out.crashes++
		out.newest = c.at
	}
	return out
}
