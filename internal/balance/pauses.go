package balance

import (
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/speed"
)

const (
	// lateMemory is how long after a late pause of a service's streams the risk of further
	// ones has a cost.
	lateMemory = 30 * time.Second
	// targetStep is the part by which a stream changes the mean pause target of its service.
	targetStep = 0.05
	// delayWeight is the cost of computing prompt tokens beside streams whose events get late
	// by it for certain, as a multiple of its time: tens of streams run at an endpoint.
	delayWeight = 30.0
	// latePauseSeconds is the cost of a late pause of the request itself. It is below that of
	// a failure, since the answer is complete.
	latePauseSeconds = 0.1
	// Below minRelativeLoad of its share of the running requests by speed, the cost of late
	// pauses is 0 at an endpoint, and from maxRelativeLoad on all of it counts. Without this
	// bound, streams with tight targets would fill up the fast endpoints.
	minRelativeLoad = 0.8
	maxRelativeLoad = 1.2
)

// pauses is what this daemon has seen of the streams of a service that have a pause target.
type pauses struct {
	// tail is that of the pauses at the usual endpoint: each is divided by the factor of its
	// endpoint.
	tail   pauseTail
	target float64   // mean of the targets, in seconds
	lateAt time.Time // of the last late pause
	load   float64   // of the usual endpoint of the service, by the last load report
}

// ObservePause records the longest pause between the events of a stream at an endpoint, and its
// target; 0 is none of either. Time in which the caller doesn't read is not part of a pause.
func (b *Balancer) ObservePause(now time.Time, c Choice, longest, target time.Duration) {
	m := b.member(c)
	if m == nil || target <= 0 || longest <= 0 || b.speeds.mode == speed.ModeOff {
		return
	}
	p := b.pauses[m.Service]
	if p == nil {
		p = &pauses{target: target.Seconds()}
		b.pauses[m.Service] = p
	}
	p.tail.add(longest.Seconds() / float64(m.slow))
	p.target += targetStep * (target.Seconds() - p.target)
	late := longest > target
	if late {
		p.lateAt = now
	}
	m.latePauses.observe(now, late)
}

// HadLatePause reports whether a stream of a service had a late pause lately.
func (b *Balancer) HadLatePause(now time.Time, service string) bool {
	p := b.pauses[service]
	return p != nil && now.Sub(p.lateAt) <= lateMemory
}

// pauseCost returns the cost of the late pauses that a request is expected to cause at a
// member, where it computes some tokens of its prompt, and to have there itself. It is 0
// unless a stream of the service had a late pause lately.
func (b *Balancer) pauseCost(now time.Time, r *Request, m *member, uncached int) float64 {
	if !b.HadLatePause(now, r.Service) {
		return 0
	}
	p := b.pauses[r.Service]
	weight := p.weight(m)
	if weight == 0 {
		return 0
	}
	risk := max(p.tail.above(p.target/float64(m.slow)), m.latePauses.current(now))
	sum := delayWeight * risk * float64(m.slow) * float64(uncached) / b.prefillRate.perSecond
	if r.PauseTarget > 0 {
		sum += latePauseSeconds * p.tail.above(r.PauseTarget.Seconds()/float64(m.slow))
	}
	return weight * sum
}

// weight returns the part of the cost of late pauses that counts at a member: none where it has
// much less than its share of the running requests by speed, so that the cost doesn't move
// more requests to the fast endpoints than they can run.
func (p *pauses) weight(m *member) float64 {
	if p.load == 0 {
		return 1
	}
	relative := m.usualLoad() / p.load
	return min(max((relative-minRelativeLoad)/(maxRelativeLoad-minRelativeLoad), 0), 1)
}

// usualLoad returns the load of a member with its speed taken out: that of the usual endpoint if
// all have their share of the requests.
func (m *member) usualLoad() float64 { return float64(m.slow) * m.load() }

// updatePauseLoads takes a new load report into account.
func (b *Balancer) updatePauseLoads() {
	for service, p := range b.pauses {
		running, slots := 0, 0.0
		for _, m := range b.active[service] {
			running += m.running()
			slots += float64(max(m.Slots, 1)) / float64(m.slow)
		}
		p.load = float64(running) / max(slots, 1)
	}
}
