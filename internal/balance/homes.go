package balance

import "github.com/cyclamenbeam/cyclamenbeam/internal/rendezvous"

// homes are the first homes of an affinity key in a set, best first.
type homes struct {
	scores  [homeCount]uint64
	members [homeCount]*member
	// least is the lowest unweighted score that could be one of the homes.
	least uint64
}

// add takes a member with an unweighted score, if it is one of the homes.
func (h *homes) add(m *member, score uint64) {
	w := m.weight()
	if h.members[homeCount-1] != nil && !w.CanExceed(score, h.scores[homeCount-1]) {
		return
	}
	score = w.Score(score)
	for i := range h.members {
		if h.members[i] == nil || score > h.scores[i] {
			copy(h.members[i+1:], h.members[i:homeCount-1])
			copy(h.scores[i+1:], h.scores[i:homeCount-1])
			h.members[i], h.scores[i] = m, score
			if h.members[homeCount-1] != nil {
				h.least = rendezvous.LeastToExceed(h.scores[homeCount-1])
			}
			return
		}
	}
}

// appendTo appends the homes to a slice.
func (h *homes) appendTo(out []*member) []*member {
	for _, m := range h.members {
		if m != nil {
			out = append(out, m)
		}
	}
	return out
}

// appendHomes appends the first homes of an affinity key in a set, best first.
func appendHomes(key uint64, set, out []*member) []*member {
	var h homes
	for _, m := range set {
		if s := rendezvous.ScoreHashed(key, m.hash); s >= h.least {
			h.add(m, s)
		}
	}
	return h.appendTo(out)
}

// appendEligibleHomes appends the first homes among the eligible members of a request. Where
// these are all but the draining ones, the same pass finds the homes among all listed ones,
// since a pass over 3,000 members takes most of the time of a choice.
func (b *Balancer) appendEligibleHomes(key uint64, r *Request, set, out []*member) []*member {
	if !sameMembers(set, b.active[r.Service]) {
		return appendHomes(key, set, out)
	}
	var all, active homes
	for _, m := range b.listed[r.Service] {
		s := rendezvous.ScoreHashed(key, m.hash)
		if s < active.least { // nor can the others, which are at least as good
			continue
		}
		all.add(m, s)
		if !m.Draining {
			active.add(m, s)
		}
	}
	b.homeScratch, b.listedHomesKnown = all.appendTo(b.homeScratch[:0]), true
	return active.appendTo(out)
}

// listedHomes returns the first homes of a request's affinity key among all listed members of
// its service, draining ones included.
func (b *Balancer) listedHomes(key uint64, r *Request) []*member {
	if !b.listedHomesKnown {
		b.homeScratch = appendHomes(key, b.listed[r.Service], b.homeScratch[:0])
	}
	return b.homeScratch
}

// sameMembers reports whether two sets are the same slice.
func sameMembers(x, y []*member) bool {
	return len(x) > 0 && len(x) == len(y) && &x[0] == &y[0]
}
