package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// sameTime is how far back the old version's answers are compared: long enough
	// for some of each route, short enough that a disturbance counts for both.
	sameTime = 4 * time.Second
	// fewAnswers is how many of the old version's answers a comparison needs;
	// below, all since the order are taken.
	fewAnswers = 50
	// slowBuckets above the old version's median is slow: more than twice as long.
	slowBuckets = 2
	// leastRate is taken for the old version's part of bad answers at least: a few
	// endpoints may garble or fail one by chance.
	leastRate = 0.01
	// doubt is added to the old version's bad answers: few answers may lack the bad
	// ones by chance.
	doubt = 1
	// unknownRate is taken where the old version has no answers of the route.
	unknownRate = 0.05
	// maxSeen bounds the answers of the new version that are looked at again.
	maxSeen = 400
)

// windows are how many of the new version's last answers are looked at together: a
// version may turn bad late, and a long good record must not hide it.
var windows = [...]int{8, 16, 32, 64, 128, maxSeen}

// seen is an answer of the new version.
type seen struct {
	endpoint string
	bad      bool
	rate     float64 // the old version's part of bad answers at that time
}

// moment is the old version's answers that came in at a time.
type moment struct {
	at     time.Time
	counts Counts
}

// routeEvidence is what is known of one route.
type routeEvidence struct {
	old    []moment
	oldAll Counts
	new    []seen
}

// evidence compares the two versions, by route and over all routes.
type evidence struct {
	routes map[string]*routeEvidence
	all    []seen
}

func newEvidence() *evidence { return &evidence{routes: map[string]*routeEvidence{}} }

func (e *evidence) route(name string) *routeEvidence {
	r := e.routes[name]
	if r == nil {
		r = &routeEvidence{}
		e.routes[name] = r
	}
	return r
}

// addOld takes answers of the old version.
func (e *evidence) addOld(now time.Time, route string, c Counts) {
	r := e.route(route)
	r.oldAll.plus(&c)
	if n := len(r.old); n > 0 && r.old[n-1].at.Equal(now) {
		r.old[n-1].counts.plus(&c)
		return
	}
	r.old = append(r.old, moment{now, c})
}

// addNew takes answers of an endpoint of the new version. Those of the old version
// that came in with them are to be added before.
func (e *evidence) addNew(now time.Time, route, endpoint string, c Counts) {
	r := e.route(route)
	limit, rate := r.compare(now)
	bad := int(c.Failed) + c.above(limit)
	for i := range c.answers() {
		s := seen{endpoint: endpoint, bad: i < bad, rate: rate}
		r.new = keepLast(append(r.new, s))
		e.all = keepLast(append(e.all, s))
	}
}

func keepLast(s []seen) []seen {
	if over := len(s) - 2*maxSeen; over > 0 {
		return slices.Delete(s, 0, over+maxSeen)
	}
	return s
}

// compare returns the class of answer times above which an answer is slow, and which
// part of the old version's answers is bad now.
func (r *routeEvidence) compare(now time.Time) (limit int, rate float64) {
	for len(r.old) > 0 && now.Sub(r.old[0].at) > sameTime {
		r.old = r.old[1:]
	}
	var lately Counts
	for i := range r.old {
		lately.plus(&r.old[i].counts)
	}
	if lately.answers() < fewAnswers {
		lately = r.oldAll
	}
	middle, ok := lately.median()
	if !ok {
		return timeBuckets, unknownRate
	}
	limit = middle + slowBuckets
	if lately.answers() < fewAnswers {
		limit++ // the median of few is off by a class
	}
	bad := float64(int(lately.Failed) + lately.above(limit))
	return limit, max(leastRate, (bad+doubt)/(float64(lately.answers())+2*doubt))
}

// worst returns the least probability, over routes and windows, that the old
// version's rate explains the new one's bad answers, and the route it is of, empty
// for all together.
func (e *evidence) worst() (p float64, route string) {
	p = chance(e.all)
	for name, r := range e.routes {
		if q := chance(r.new); q < p || q == p && name < route {
			p, route = q, name
		}
	}
	return p, route
}

func chance(all []seen) float64 {
	least := 1.0
	for _, n := range windows {
		least = min(least, chanceOf(all[max(len(all)-n, 0):]))
		if n >= len(all) {
			break
		}
	}
	return least
}

// tally is an endpoint's answers in a window.
type tally struct {
	bad  int
	mean float64 // bad ones that the old version would have had
}

// chanceOf returns the probability that chance alone makes as many answers bad. The
// endpoint with the most bad answers counts for no more than the next one: one that
// is broken says nothing of its version.
func chanceOf(all []seen) float64 {
	tallies := map[string]*tally{}
	for i := range all {
		s := &all[i]
		t := tallies[s.endpoint]
		if t == nil {
			t = &tally{}
			tallies[s.endpoint] = t
		}
		t.mean += s.rate
		if s.bad {
			t.bad++
		}
	}
	count, mean, most, second := 0, 0.0, 0, 0
	for _, t := range tallies {
		count += t.bad
		mean += t.mean
		second = max(second, min(most, t.bad))
		most = max(most, t.bad)
	}
	if len(tallies) == 1 {
		p := poissonTail(count, mean)
		return p * p // an endpoint alone can't be told from its version: twice the evidence
	}
	return poissonTail(count-most+second, mean)
}

// poissonTail returns the probability of n or more where mean are expected.
func poissonTail(n int, mean float64) float64 {
	if n <= 0 {
		return 1
	}
	term, below := math.Exp(-mean), 0.0
	for k := range n {
		below += term
		term *= mean / float64(k+1)
	}
	if below < 0.999 {
		return max(1-below, 0)
	}
	sum := 0.0 // the tail itself, where 1-below has no digits left
	for k := n; k < n+50; k++ {
		sum += term
		term *= mean / float64(k+1)
	}
	return sum
}
