package balance

import (
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"
)

// candidates returns the members to weigh: all of a small set, the subject's
// first homes and a few drawn ones of a large set. The slice is reused.
func (b *Balancer) candidates(a *Ask) []*member {
	set := b.set(a)
	if len(set) <= scanLimit {
		return set
	}
	b.scratch = b.scratch[:0]
	if key := a.subject(); key != 0 {
		b.scratch = rank(key, set, b.scratch)
	}
	for range drawn {
		m := set[b.rng.IntN(len(set))]
		if !slices.Contains(b.scratch, m) {
			b.scratch = append(b.scratch, m)
		}
	}
	return b.scratch
}

// home returns the subject's first home, nil without a subject.
func (b *Balancer) home(key uint64, set []*member) *member {
	var best *member
	var most uint64
	if key == 0 {
		return nil
	}
	for _, m := range set {
		if s := rendezvous.Mix(key, m.hash); best == nil || s > most {
			best, most = m, s
		}
	}
	return best
}

// rank appends the subject's first homes in a set.
func rank(key uint64, set []*member, out []*member) []*member {
	var scores [homes]uint64
	var top [homes]*member
	for _, m := range set {
		s := rendezvous.Mix(key, m.hash)
		for i := range top {
			if top[i] == nil || s > scores[i] {
				copy(top[i+1:], top[i:homes-1])
				copy(scores[i+1:], scores[i:homes-1])
				top[i], scores[i] = m, s
				break
			}
		}
	}
	for _, m := range top {
		if m != nil {
			out = append(out, m)
		}
	}
	return out
}
