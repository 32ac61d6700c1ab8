package reclaim

import (
	"cmp"
	"slices"
	"time"
)

// link schedules the exports of one endpoint: one transfer after another at
// the link's full rate, so that what was moved stays moved if the endpoint
// vanishes early, with the set-up of the next hidden behind it. Times are
// since the plan's now.
type link struct {
	policy Policy
	rate   float64         // bytes a second
	free   time.Duration   // when the running transfers are over
	ends   []time.Duration // of the newest exports, as many as may run at once
}

func newLink(p Policy, rate float64, busy time.Duration) *link {
	l := &link{policy: p, rate: rate, free: max(0, busy), ends: make([]time.Duration, p.Exports)}
	l.ends[p.Exports-1] = l.free
	return l
}

// next returns when an export of so many bytes could start and end.
func (l *link) next(bytes int64) (start, end time.Duration) {
	start = max(l.ends[0], l.free-l.policy.Setup)
	transfer := max(start+l.policy.Setup, l.free)
	return start, transfer + l.transfer(bytes)
}

func (l *link) add(end time.Duration) {
	l.free = end
	l.ends = append(l.ends[1:], end)
}

// transfer is bounded by never, which fits no notice.
func (l *link) transfer(bytes int64) time.Duration {
	seconds := never.Seconds()
	if l.rate > 0 {
		seconds = min(seconds, float64(bytes)/l.rate)
	}
	return time.Duration(seconds * float64(time.Second))
}

// density is the recomputed tokens that an export saves a second.
func (l *link) density(s Stream) float64 {
	return float64(s.saved()) / (l.policy.Setup + l.transfer(s.KVBytes)).Seconds()
}

// order sorts streams by when they should be exported: those that are best
// chosen together first, and within each group by density, so that the most is
// saved if the endpoint vanishes early.
func (l *link) order(streams []Stream, left time.Duration) {
	slices.SortStableFunc(streams, func(a, b Stream) int {
		return cmp.Compare(l.density(b), l.density(a))
	})
	chosen := l.choose(streams, int64(left-l.free-l.policy.Setup))
	var first, second []Stream
	for i, s := range streams {
		if chosen[i] {
			first = append(first, s)
		} else {
			second = append(second, s)
		}
	}
	copy(streams, append(first, second...))
}
