package rollout

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// compareWindow is how far back the old version's answers are compared, and
	// recentWindow how far if there are minAnswers within it: only answers of the same
	// time show a disturbance that affects both versions.
	compareWindow = 4 * time.Second
	recentWindow  = time.Second
	// minAnswers is how many of the old version's answers a comparison needs; with fewer
	// in compareWindow, all since the order are taken.
	minAnswers = 50
	// minForMedian is how many answers make the median about right.
	minForMedian = 10
	// slowBuckets is how many buckets above the old version's median an answer is slow:
	// more than twice as long.
	slowBuckets = 2
	// minBadRate is the lowest assumed rate of bad answers of the old version: a few
	// endpoints may garble or fail an answer by chance.
	minBadRate = 0.01
	// priorBad is added to the old version's bad answers: a small sample may lack them
	// by chance.
	priorBad = 1.0
	// pooledWeight is the weight, in answers, of the rate over all routes in the rate of
	// one route: its own few answers are a weak estimate.
	pooledWeight = 20.0
	// maxAnswers is the size of the largest window of the new version's answers.
	maxAnswers = 400
)

// windows are the numbers of the new version's last answers that are tested together: a
// version may become bad late, and many good answers before must not hide it.
var windows = [...]int{8, 16, 32, 64, 128, maxAnswers}

// answer is an answer of the new version.
type answer struct {
	endpoint string
	bad      bool
	oldRate  float64 // the old version's rate of bad answers at that time
}

// oldAnswers is the old version's answers that were reported at one time.
type oldAnswers struct {
	at     time.Time
	counts Counts
}

// routeEvidence is the answers of both versions on one route.
type routeEvidence struct {
	old    []oldAnswers
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

// addOld adds answers of the old version.
func (e *evidence) addOld(now time.Time, route string, c Counts) {
	r := e.route(route)
	r.oldAll.plus(&c)
	if n := len(r.old); n > 0 && r.old[n-1].at.Equal(now) {
		r.old[n-1].counts.plus(&c)
		return
	}
	r.old = append(r.old, oldAnswers{now, c})
}

// addNew adds answers of an endpoint of the new version. Those of the old version from
// the same report must be added before.
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

// keepLast drops all but the last maxAnswers once there are more than twice as many.
func keepLast(s []answer) []answer {
	if over := len(s) - 2*maxAnswers; over > 0 {
		return slices.Delete(s, 0, over+maxAnswers)
	}
	return s
}

// pooledRate returns the old version's current rate of bad answers over all routes.
func (e *evidence) pooledRate(now time.Time) float64 {
	bad, all := float64(priorBad), 2*float64(priorBad)
	for _, r := range e.routes {
		recent := r.recent(now)
		if limit, ok := recent.slowBucket(); ok {
			bad += float64(int(recent.Failed) + recent.above(limit))
			all += float64(recent.answers())
		}
	}
	return bad / all
}

// recent returns the old version's answers to compare with: the newest ones that are
// enough, or all since the order.
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

// baseline returns the bucket above which an answer is slow, and the old version's
// current rate of bad answers. pooled is the rate over all routes.
func (r *routeEvidence) baseline(now time.Time, pooled float64) (limit int, rate float64) {
	old := r.recent(now)
	limit, ok := old.slowBucket()
	if !ok {
		return timeBuckets, pooled
	}
	bad := float64(int(old.Failed)+old.above(limit)) + pooledWeight*pooled
	return limit, max(minBadRate, bad/(float64(old.answers())+pooledWeight))
}

// slowBucket returns the bucket above which an answer is slow; false without answers to
// compare with.
func (c *Counts) slowBucket() (limit int, ok bool) {
	median, ok := c.medianBucket()
	limit = median + slowBuckets
	if c.answers() < minForMedian {
		limit++ // the median of few answers may be off by a bucket
	}
	return limit, ok
}

// lowestPValue returns the lowest p-value over routes and windows: the probability that
// the old version's rate explains the new version's bad answers. The route is empty if
// it is that of all routes together. alone means that the new version has one endpoint.
func (e *evidence) lowestPValue(alone bool) (p float64, route string) {
	p = lowestOverWindows(e.all, alone)
	for name, r := range e.routes {
		if q := lowestOverWindows(r.new, alone); q < p || q == p && name < route {
			p, route = q, name
		}
	}
	return p, route
}

// lowestOverWindows returns the lowest p-value over the windows of the answers.
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
	expected float64 // expected bad answers at the old version's rate
}

// pValue returns the probability of as many bad answers at the old version's rate. The
// endpoint with the most bad answers counts with no more than the next one, since one
// broken endpoint doesn't make its version bad.
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
		return p * p // a broken endpoint can't be told from a bad version: twice the evidence
	case 2:
		return poissonTail(list[1].bad, list[1].expected) // the better one of two decides
	}
	count, mean := list[1].bad, list[0].expected
	for _, t := range list[1:] {
		count += t.bad
		mean += t.expected
	}
	return poissonTail(count, mean)
}

// poissonTail returns the probability of n or more events where mean are expected.
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
	sum := 0.0 // sums the tail itself, where 1-below would lose its precision
	for k := n; k < n+50; k++ {
		sum += term
		term *= mean / float64(k+1)
	}
	return sum
}
