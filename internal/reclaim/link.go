package reclaim

import (
	"cmp"
	"slices"
	"time"
)

// link schedules the exports over the network link of one endpoint: one transfer
// after another, each at the full rate, so that the completed ones are safe if
// the endpoint is gone early. The next export is set up during the current
// transfer. Times are relative to the plan's now.
type link struct {
	policy   Policy
	rate     float64         // bytes per second
	freeAt   time.Duration   // end of the last transfer
	lastEnds []time.Duration // ends of the last Policy.MaxExports exports, oldest first
}

// newLink returns a link that earlier exports occupy until busy.
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

// add schedules an export that ends at end, as returned by next.
func (l *link) add(end time.Duration) {
	l.freeAt = end
	l.lastEnds = append(l.lastEnds[1:], end)
}

// transfer returns how long it takes to transfer so many bytes, at most
// maxTransfer.
func (l *link) transfer(bytes int64) time.Duration {
	seconds := maxTransfer.Seconds()
	if l.rate > 0 {
		seconds = min(seconds, float64(bytes)/l.rate)
	}
	return time.Duration(seconds * float64(time.Second))
}

// density returns the recomputed tokens that an export saves per second of its
// duration.
func (l *link) density(s Stream) float64 {
	return float64(s.savedTokens()) / (l.policy.SetupTime + l.transfer(s.KVBytes)).Seconds()
}

// sortForExport sorts streams in the order of export: first those that choose
// selects, then the others, both by descending density, so that the most is saved
// if the endpoint is gone early.
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
