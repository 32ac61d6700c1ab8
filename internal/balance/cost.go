package balance

import "time"

// cached returns the prompt's tokens that a member is believed to hold: what
// this daemon has sent there and, at the subject's home, a part of what others
// will have sent.
func cached(a *Ask, m *member, home bool) int {
	known := m.parts.holds(a.Parts)
	if !home {
		return known
	}
	return max(known, int(homeBelief*float64(a.shared())))
}

// wait predicts the seconds to the first token, or of queueing at a plain service.
func (b *Balancer) wait(a *Ask, m *member, held int) float64 {
	slots := max(m.Slots, 1)
	running := m.running()
	turn := plainSeconds
	sum := 0.0
	if m.engine {
		turn = turnSeconds
		unread := m.own.Unread + m.others.Unread + max(a.Prompt-held, 0)
		sum = float64(unread)/b.rate.perSecond + slotSeconds*float64(running)/float64(slots)
	} else {
		sum = plainSeconds * float64(running) / float64(slots)
	}
	if over := running - slots + 1; over > 0 {
		sum += turn * float64(over) / float64(slots)
	}
	return sum
}

// cost prices a member for a request, in seconds.
func (b *Balancer) cost(now time.Time, a *Ask, m *member, home bool, s *sources) float64 {
	f := b.fetchable(m, cached(a, m, home), s)
	sum := b.wait(a, m, f.held) + f.weight
	sum += (rereadWeight - 1) * float64(max(a.Prompt-f.held, 0)) / b.rate.perSecond
	sum += failureSeconds * m.failing(now)
	if m.DataCentre != b.self {
		sum += distance
	}
	if now.Before(m.SlowUntil) {
		sum += slowSeconds
	}
	return sum
}

// choice describes the chosen member.
func (b *Balancer) choice(a *Ask, m, home *member, s *sources) Choice {
	f := b.fetchable(m, cached(a, m, m == home), s)
	out := Choice{
		Endpoint: m.Endpoint,
		Cached:   f.held,
		Wait:     b.wait(a, m, f.held),
		Home:     m == home,
	}
	if f.from != nil {
		out.FetchFrom = f.from.Address
	}
	return out
}
