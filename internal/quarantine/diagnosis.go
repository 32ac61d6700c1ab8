package quarantine

import (
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes of which a request must be the likeliest
	// cause before it is held. One may be a coincidence, and after two there may be
	// several requests that were present at both.
	minCrashes = 3
	// minIsolated is how many of these crashes must be isolated. Otherwise, if
	// endpoints are repeatedly killed together, a request that is retried each time
	// on one of them would be held.
	minIsolated = 2
	// correlationWindow is the largest difference between the reported times of
	// crashes with a common cause: a few milliseconds, plus the difference between
	// the daemons' clocks.
	correlationWindow = 150 * time.Millisecond
)

// diagnose returns the requests that crash the endpoints that run them, and the
// crashes that none of them explains. crashes must be sorted by time. An explained
// crash counts neither against the other requests that ran there nor as evidence
// that a crash at the same time had a common cause.
func diagnose(crashes []*evidence) (causes []Key, unexplained []*evidence) {
	for {
		found := newDiagnosis(crashes).causes()
		if len(found) == 0 {
			return causes, crashes
		}
		causes = append(causes, found...)
		crashes = withoutCauses(crashes, func(k Key) bool { return slices.Contains(found, k) })
	}
}

// withoutCauses returns the crashes that have no possible cause for which isCause
// holds.
func withoutCauses(crashes []*evidence, isCause func(k Key) bool) []*evidence {
	var out []*evidence
	for _, c := range crashes {
		if !c.any(isCause) {
			out = append(out, c)
		}
	}
	return out
}

// diagnosis counts the crashes that are not explained yet, by possible cause.
type diagnosis struct {
	crashes  []*evidence
	isolated map[Key]int // isolated crashes
	counted  map[Key]int // crashes that count against the cause
}

func newDiagnosis(crashes []*evidence) *diagnosis {
	d := &diagnosis{crashes: crashes}
	d.isolated = d.count(func(i int, k Key) bool { return d.isIsolated(i, k, false) })
	d.counted = d.count(func(i int, k Key) bool { return d.counts(i, k) })
	return d
}

// count returns for each possible cause the number of crashes for which counts holds.
// Crashes within the correlation window count once for a request that had been
// sent to all of their endpoints before, since many callers may send the same one.
func (d *diagnosis) count(counts func(i int, k Key) bool) map[Key]int {
	n := map[Key]int{}
	last := map[Key]time.Time{}
	for i, c := range d.crashes {
		for k, o := range c.open {
			again := n[k] > 0 && c.at.Sub(last[k]) <= correlationWindow && !o.sent.After(last[k])
			if again || !counts(i, k) {
				continue
			}
			n[k]++
			last[k] = c.at
		}
	}
	return n
}

// counts reports whether crash i counts against its possible cause k.
func (d *diagnosis) counts(i int, k Key) bool {
	return d.isolated[k] >= minIsolated || d.isIsolated(i, k, true)
}

// isIsolated reports whether each other crash within the correlation window of
// crash i has k as a possible cause as well, or a part of prompts as a likely one that is none of
// crash i. With ignoreExplained, crashes that have a likely cause of their own are ignored.
func (d *diagnosis) isIsolated(i int, k Key, ignoreExplained bool) bool {
	c := d.crashes[i]
	beside := func(o *evidence) bool {
		return !o.has(k) && !o.explained && !o.hasLikelyPartBeyond(c) && !(ignoreExplained && d.hasLikelyCause(o))
	}
	for n := i - 1; n >= 0 && c.at.Sub(d.crashes[n].at) <= correlationWindow; n-- {
		if beside(d.crashes[n]) {
			return false
		}
	}
	for n := i + 1; n < len(d.crashes) && d.crashes[n].at.Sub(c.at) <= correlationWindow; n++ {
		if beside(d.crashes[n]) {
			return false
		}
	}
	return true
}

// hasLikelyCause reports whether a crash has a possible cause with enough isolated
// crashes.
func (d *diagnosis) hasLikelyCause(c *evidence) bool {
	return c.any(func(k Key) bool { return d.isolated[k] >= minIsolated })
}

// causes returns the requests that are the likeliest cause of enough crashes.
func (d *diagnosis) causes() []Key {
	likeliest := d.count(func(i int, k Key) bool { return d.counts(i, k) && d.isLikeliest(d.crashes[i], k) })
	var out []Key
	for k, n := range likeliest {
		if n >= minCrashes && d.isolated[k] >= minIsolated && d.hasUnexplained(k) {
			out = append(out, k)
		}
	}
	return out
}

// hasUnexplained reports whether k may have caused a crash that has no known cause.
func (d *diagnosis) hasUnexplained(k Key) bool {
	return slices.ContainsFunc(d.crashes, func(c *evidence) bool { return !c.explained && c.has(k) })
}

// isLikeliest reports whether k may have caused more crashes than each other possible
// cause of c. Two requests that always ran together can't be distinguished.
func (d *diagnosis) isLikeliest(c *evidence, k Key) bool {
	return !c.any(func(o Key) bool { return o != k && d.counted[o] >= d.counted[k] })
}
