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
	policy   Policy
	rate     float64         // bytes a second
	freeAt   time.Duration   // when the running transfers are over
	lastEnds []time.Duration // of the newest exports, as many as may run at once
}

func newLink(p Policy, rate float64, busy time.Duration) *link {
	l := &link{policy: p, rate: rate, freeAt: max(0, busy), lastEnds: make([]time.Duration, p.MaxExports)}
	l.lastEnds[p.MaxExports-1] = l.freeAt
	return l
}

// next returns when an export of so many bytes could start and end.
func (l *link) next(bytes int64) (start, end time.Duration) {
	start = max(l.lastEnds[0], l.freeAt-l.policy.SetupTime)
	transfer := max(start+l.policy.SetupTime, l.freeAt)
	return start, transfer + l.transfer(bytes)
}

func (l *link) add(end time.Duration) {
	l.freeAt = end
	l.lastEnds = append(l.lastEnds[1:], end)
}

// transfer is bounded by never, which fits no notice.
func (l *link) transfer(bytes int64) time.Duration {
	seconds := maxTransfer.Seconds()
	if l.rate > 0 {
		seconds = min(seconds, float64(bytes)/l.rate)
	}
	return time.Duration(seconds * float64(time.Second))
}

// density is the recomputed tokens that an export saves a second.
func (l *link) density(s Stream) float64 {
	return float64(s.savedTokens()) / (l.policy.SetupTime + l.transfer(s.KVBytes)).Seconds()
}

// sortForExport sorts streams by when they should be exported: those that are best
// chosen together first, and within each group by density, so that the most is
// saved if the endpoint vanishes early.
func (l *link) sortForExport(streams []Stream, left time.Duration) {
	slices.SortStableFunc(streams, func(a, b Stream) int {
		return cmp.Compare(l.density(b), l.density(a))
	})
	chosen := l.choose(streams, int64(left-l.freeAt-l.policy.SetupTime))
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
