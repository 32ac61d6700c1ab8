package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// compareWindow is how far back the old version's answers are compared, and atOnce how
	// far where these are enough: what strikes both versions must count for both.
	compareWindow = 4 * time.Second
	recentWindow  = time.Second
	// minAnswers is how many of the old version's answers a comparison needs;
	// below, all since the order are taken.
	minAnswers = 50
	// minForMedian is how many it takes until their median is about right.
	minForMedian = 10
	// slowBuckets above the old version's median is slow: more than twice as long.
	slowBuckets = 2
	// minBadRate is taken for the old version's part of bad answers at least: a few
	// endpoints may garble or fail one by chance.
	minBadRate = 0.01
	// priorBad is added to the old version's bad answers: few answers may lack the bad
	// ones by chance.
	priorBad = 1.0
	// pooledWeight is how many answers a route's rate is taken to be like that of all
	// routes together: its own few say little.
	pooledWeight = 20.0
	// maxAnswers bounds the answers of the new version that are looked at again.
	maxAnswers = 400
)

// windows are how many of the new version's last answers are looked at together: a
// version may turn bad late, and a long good record must not hide it.
var windows = [...]int{8, 16, 32, 64, 128, maxAnswers}

// answer is an answer of the new version.
type answer struct {
	endpoint string
	bad      bool
	oldRate  float64 // the old version's part of bad answers at that time
}

// oldSample is the old version's answers that came in at a time.
type oldSample struct {
	at     time.Time
	counts Counts
}

// routeEvidence is what is known of one route.
type routeEvidence struct {
	old    []oldSample
	oldAll Counts
	new    []answer
}

// evidence compares the two versions, by route and over all routes.
type evidence struct {
	routes map[string]*routeEvidence
	all    []answer
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
	r.old = append(r.old, oldSample{now, c})
}

// addNew takes answers of an endpoint of the new version. Those of the old version
// that came in with them are to be added before.
func (e *evidence) addNew(now time.Time, route, endpoint string, c Counts) {
	r := e.route(route)
	limit, rate := r.baseline(now, e.pooledRate(now))
	bad := int(c.Failed) + c.above(limit)
	for i := range c.answers() {
		s := answer{endpoint: endpoint, bad: i < bad, oldRate: rate}
		r.new = keepLast(append(r.new, s))
		e.all = keepLast(append(e.all, s))
	}
}

func keepLast(s []answer) []answer {
	if over := len(s) - 2*maxAnswers; over > 0 {
		return slices.Delete(s, 0, over+maxAnswers)
	}
	return s
}

// pooledRate returns which part of the old version's answers is bad now, over all routes.
func (e *evidence) pooledRate(now time.Time) float64 {
	bad, all := float64(priorBad), 2*float64(priorBad)
	for _, r := range e.routes {
		lately := r.recent(now)
		if limit, ok := lately.slowBucket(); ok {
			bad += float64(int(lately.Failed) + lately.above(limit))
			all += float64(lately.answers())
		}
	}
	return bad / all
}

// recent returns the old version's answers to compare with: the newest that are
// enough.
func (r *routeEvidence) recent(now time.Time) Counts {
	for len(r.old) > 0 && now.Sub(r.old[0].at) > compareWindow {
		r.old = r.old[1:]
	}
	var out Counts
	for _, m := range slices.Backward(r.old) {
		if now.Sub(m.at) > recentWindow && out.answers() >= minAnswers {
			return out
		}
		out.plus(&m.counts)
	}
	if out.answers() < minAnswers {
		return r.oldAll
	}
	return out
}

// baseline returns the class of answer times above which an answer is slow, and which
// part of the old version's answers is bad now; pooled is that of all routes.
func (r *routeEvidence) baseline(now time.Time, pooled float64) (limit int, rate float64) {
	old := r.recent(now)
	limit, ok := old.slowBucket()
	if !ok {
		return timeBuckets, pooled
	}
	bad := float64(int(old.Failed)+old.above(limit)) + pooledWeight*pooled
	return limit, max(minBadRate, bad/(float64(old.answers())+pooledWeight))
}

// slowBucket returns the class of answer times above which an answer is slow, false
// where there is none to compare with.
func (c *Counts) slowBucket() (limit int, ok bool) {
	middle, ok := c.medianBucket()
	limit = middle + slowBuckets
	if c.answers() < minForMedian {
		limit++ // the median of few is off by a class
	}
	return limit, ok
}

// lowestPValue returns the least probability, over routes and windows, that the old
// version's rate explains the new one's bad answers, and the route it is of, empty
// for all together. alone says that the new version has one endpoint.
func (e *evidence) lowestPValue(alone bool) (p float64, route string) {
	p = lowestOverWindows(e.all, alone)
	for name, r := range e.routes {
		if q := lowestOverWindows(r.new, alone); q < p || q == p && name < route {
			p, route = q, name
		}
	}
	return p, route
}

func lowestOverWindows(all []answer, alone bool) float64 {
	lowest := 1.0
	for _, n := range windows {
		lowest = min(lowest, pValue(all[max(len(all)-n, 0):], alone))
		if n >= len(all) {
			break
		}
	}
	return lowest
}

// tally is an endpoint's answers in a window.
type tally struct {
	bad      int
	expected float64 // bad ones that the old version would have had
}

// pValue returns the probability that chance alone makes as many answers bad. The
// endpoint with the most bad answers counts for no more than the next one: one that
// is broken says nothing of its version.
func pValue(all []answer, alone bool) float64 {
	tallies := map[string]*tally{}
	for i := range all {
		s := &all[i]
		t := tallies[s.endpoint]
		if t == nil {
			t = &tally{}
			tallies[s.endpoint] = t
		}
		t.expected += s.oldRate
		if s.bad {
			t.bad++
		}
	}
	list := slices.SortedFunc(maps.Values(tallies), func(a, b *tally) int { return b.bad - a.bad })
	switch len(list) {
	case 0:
		return 1
	case 1:
		if !alone {
			return 1
		}
		p := poissonTail(list[0].bad, list[0].expected)
		return p * p // it can't be told from its version: twice the evidence
	case 2:
		return poissonTail(list[1].bad, list[1].expected) // the better one of two speaks for both
	}
	count, mean := list[1].bad, list[0].expected
	for _, t := range list[1:] {
		count += t.bad
		mean += t.expected
	}
	return poissonTail(count, mean)
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
