package balance

import (
	"slices"
	"time"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// candidates returns the members to compare: all of a small set; of a large one the
// first homes of the affinity key and a random sample. Of a brittle service these are the
// members where this daemon has free slots. The slice is reused.
func (b *Balancer) candidates(now time.Time, r *Request) []*member {
	b.listedHomesKnown = false
	if s := b.brittle[r.Service]; s != nil {
		return b.withOwnSlots(now, r, s)
	}
	set := b.eligible(r)
	if len(set) <= scanLimit {
		return set
	}
	b.scratch = b.scratch[:0]
	if key := r.affinityKey(); key != 0 {
		b.scratch = b.appendEligibleHomes(key, r, set, b.scratch)
	}
	for range sampleSize {
		m := set[b.rng.IntN(len(set))]
		if !slices.Contains(b.scratch, m) {
			b.scratch = append(b.scratch, m)
		}
	}
	return b.scratch
}

// homeOf returns the first home of an affinity key by rendezvous hashing, weighted by speed;
// nil for key 0. An endpoint with a rate limit or at rest can't take the requests of a home.
func (b *Balancer) homeOf(now time.Time, key uint64, set []*member) *member {
	var best *member
	var most uint64
	if key == 0 {
		return nil
	}
	for _, m := range set {
		if m.pacer != nil || m.resting(now) {
			continue
		}
		s := rendezvous.ScoreHashed(key, m.hash)
		w := m.weight()
		if best != nil && !w.CanExceed(s, most) {
			continue
		}
		if s = w.Score(s); best == nil || s > most {
			best, most = m, s
		}
	}
	return best
}
