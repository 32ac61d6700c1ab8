package quarantine

import (
	"slices"
	"time"
)

const (
	// minCrashes is how many crashes a request must be the likeliest cause of: one
	// can be chance, and of two that ran beside each other either.
	minCrashes = 3
	// minIsolated is how many of them must have come alone. Failure: endpoints
	// are killed together, again and again. Symptom: a request that was repeated
	// each time onto one of them would be held for it.
	minIsolated = 2
	// correlationWindow is how far apart the ends of endpoints that one cause ends are
	// told at the most: a few milliseconds, and what daemons' clocks differ by.
	correlationWindow = 150 * time.Millisecond
)

// diagnose returns the requests that crash the endpoints that run them, and the
// crashes that none of them explains. crashes are in order of time. A crash that
// is explained counts neither against those that ran beside its cause, nor as a
// sign of a common cause for others.
func diagnose(crashes []*Crash) (causes []Key, unexplained []*Crash) {
	for {
		found := newDiagnosis(crashes).causes()
		if len(found) == 0 {
			return causes, crashes
		}
		causes = append(causes, found...)
		crashes = withoutCauses(crashes, func(k Key) bool { return slices.Contains(found, k) })
	}
}

// withoutCauses returns the crashes that have none of some suspects.
func withoutCauses(crashes []*Crash, isCause func(k Key) bool) []*Crash {
	var out []*Crash
	for _, c := range crashes {
		if !c.Void && !c.anySuspect(isCause) {
			out = append(out, c)
		}
	}
	return out
}

// diagnosis weighs the crashes that nothing explains yet.
type diagnosis struct {
	crashes  []*Crash
	isolated map[Key]int // crashes that came alone, by their suspects
	counted  map[Key]int // crashes that count
}

func newDiagnosis(crashes []*Crash) *diagnosis {
	d := &diagnosis{crashes: crashes}
	d.isolated = d.count(func(i int, k Key) bool { return d.isIsolated(i, k, false) })
	d.counted = d.count(func(i int, k Key) bool { return d.counts(i, k) })
	return d
}

// count returns how many crashes count, by their suspects. Those that come together
// count once for a request that had been sent to all of the endpoints before:
// many callers may send the same one.
func (d *diagnosis) count(counts func(i int, k Key) bool) map[Key]int {
	n := map[Key]int{}
	last := map[Key]time.Time{}
	for i, c := range d.crashes {
		for _, s := range c.Suspects {
			k := s.Request
			again := n[k] > 0 && c.At.Sub(last[k]) <= correlationWindow && !s.Sent.After(last[k])
			if again || !c.isSuspect(k) || !counts(i, k) {
				continue
			}
			n[k]++
			last[k] = c.At
		}
	}
	return n
}

// counts reports whether a crash counts against one of its suspects.
func (d *diagnosis) counts(i int, k Key) bool {
	return d.isolated[k] >= minIsolated || d.isIsolated(i, k, true)
}

// isIsolated reports whether no endpoint ended together with a crash but under the
// same request. Others that have a likely cause of their own may be passed over.
func (d *diagnosis) isIsolated(i int, k Key, ignoreExplained bool) bool {
	c := d.crashes[i]
	beside := func(o *Crash) bool {
		return !o.isSuspect(k) && !(ignoreExplained && d.hasLikelyCause(o))
	}
	for n := i - 1; n >= 0 && c.At.Sub(d.crashes[n].At) <= correlationWindow; n-- {
		if beside(d.crashes[n]) {
			return false
		}
	}
	for n := i + 1; n < len(d.crashes) && d.crashes[n].At.Sub(c.At) <= correlationWindow; n++ {
		if beside(d.crashes[n]) {
			return false
		}
	}
	return true
}

// hasLikelyCause reports whether a crash has a suspect that others came alone with.
func (d *diagnosis) hasLikelyCause(c *Crash) bool {
	return c.anySuspect(func(k Key) bool { return d.isolated[k] >= minIsolated })
}

// causes returns the requests that are the likeliest cause of minCrashes crashes.
func (d *diagnosis) causes() []Key {
	likeliest := d.count(func(i int, k Key) bool { return d.counts(i, k) && d.isLikeliest(d.crashes[i], k) })
	var out []Key
	for k, n := range likeliest {
		if n >= minCrashes && d.isolated[k] >= minIsolated {
			out = append(out, k)
		}
	}
	return out
}

// isLikeliest reports whether a suspect was under more crashes than each other one of
// the same crash. Two that always ran beside each other can't be told apart.
func (d *diagnosis) isLikeliest(c *Crash, k Key) bool {
	return !c.anySuspect(func(o Key) bool { return o != k && d.counted[o] >= d.counted[k] })
}
