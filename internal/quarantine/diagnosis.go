package quarantine

import (
	"slices"
	"time"
)

const (
	// enough is how many crashes a request must be the likeliest cause of: one
	// can be chance, and of two that ran beside each other either.
	enough = 3
	// enoughAlone is how many of them must have come alone. Failure: endpoints
	// are killed together, again and again. Symptom: a request that was repeated
	// each time onto one of them would be held for it.
	enoughAlone = 2
	// together is how far apart the ends of endpoints that one cause ends are
	// told at the most: a few milliseconds, and what daemons' clocks differ by.
	together = 150 * time.Millisecond
)

// judge returns the requests that crash the endpoints that run them, and the
// crashes that none of them explains. crashes are in order of time. A crash that
// is explained counts neither against those that ran beside its cause, nor as a
// sign of a common cause for others.
func judge(crashes []*Crash) (guilty []Key, open []*Crash) {
	for {
		found := newJudgement(crashes).causes()
		if len(found) == 0 {
			return guilty, crashes
		}
		guilty = append(guilty, found...)
		crashes = unexplained(crashes, func(k Key) bool { return slices.Contains(found, k) })
	}
}

// unexplained returns the crashes that have none of some suspects.
func unexplained(crashes []*Crash, guilty func(k Key) bool) []*Crash {
	var out []*Crash
	for _, c := range crashes {
		if !c.Void && !c.any(guilty) {
			out = append(out, c)
		}
	}
	return out
}

// judgement weighs the crashes that nothing explains yet.
type judgement struct {
	open  []*Crash
	alone map[Key]int // crashes that came alone, by their suspects
	all   map[Key]int // crashes that count
}

func newJudgement(open []*Crash) *judgement {
	j := &judgement{open: open}
	j.alone = j.count(func(i int, k Key) bool { return j.cameAlone(i, k, false) })
	j.all = j.count(func(i int, k Key) bool { return j.counts(i, k) })
	return j
}

// count returns how many crashes count, by their suspects. Those that come together
// count once for a request that had been sent to all of the endpoints before:
// many callers may send the same one.
func (j *judgement) count(counts func(i int, k Key) bool) map[Key]int {
	n := map[Key]int{}
	last := map[Key]time.Time{}
	for i, c := range j.open {
		for _, s := range c.Suspects {
			k := s.Request
			again := n[k] > 0 && c.At.Sub(last[k]) <= together && !s.Sent.After(last[k])
			if again || !c.suspects(k) || !counts(i, k) {
				continue
			}
			n[k]++
			last[k] = c.At
		}
	}
	return n
}

// counts reports whether a crash counts against one of its suspects.
func (j *judgement) counts(i int, k Key) bool {
	return j.alone[k] >= enoughAlone || j.cameAlone(i, k, true)
}

// cameAlone reports whether no endpoint ended together with a crash but under the
// same request. Others that have a likely cause of their own may be passed over.
func (j *judgement) cameAlone(i int, k Key, passOver bool) bool {
	c := j.open[i]
	beside := func(o *Crash) bool {
		return !o.suspects(k) && !(passOver && j.hasCause(o))
	}
	for n := i - 1; n >= 0 && c.At.Sub(j.open[n].At) <= together; n-- {
		if beside(j.open[n]) {
			return false
		}
	}
	for n := i + 1; n < len(j.open) && j.open[n].At.Sub(c.At) <= together; n++ {
		if beside(j.open[n]) {
			return false
		}
	}
	return true
}

// hasCause reports whether a crash has a suspect that others came alone with.
func (j *judgement) hasCause(c *Crash) bool {
	return c.any(func(k Key) bool { return j.alone[k] >= enoughAlone })
}

// causes returns the requests that are the likeliest cause of enough crashes.
func (j *judgement) causes() []Key {
	likeliest := j.count(func(i int, k Key) bool { return j.counts(i, k) && j.leads(j.open[i], k) })
	var out []Key
	for k, n := range likeliest {
		if n >= enough && j.alone[k] >= enoughAlone {
			out = append(out, k)
		}
	}
	return out
}

// leads reports whether a suspect was under more crashes than each other one of
// the same crash. Two that always ran beside each other can't be told apart.
func (j *judgement) leads(c *Crash, k Key) bool {
	return !c.any(func(o Key) bool { return o != k && j.all[o] >= j.all[k] })
}
