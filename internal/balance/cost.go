package balance

import "time"

// cached returns the prompt's tokens that a member is believed to hold: what
// this daemon has sent there and, at the subject's home, a part of what others
// will have sent.
func cached(a *Ask, m *member, home bool) int {
	known := m.parts.holds(a.Parts)
	if !home || len(a.Parts) < 2 {
		return known
	}
	shared := 0
	for _, p := range a.Parts[:len(a.Parts)-1] {
		shared += p.Tokens
	}
	return max(known, int(homeBelief*float64(shared)))
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
func (b *Balancer) cost(now time.Time, a *Ask, m *member, home bool) float64 {
	held := cached(a, m, home)
	sum := b.wait(a, m, held)
	sum += (rereadWeight - 1) * float64(max(a.Prompt-held, 0)) / b.rate.perSecond
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
func (b *Balancer) choice(a *Ask, m, home *member) Choice {
	held := cached(a, m, m == home)
	return Choice{
		Endpoint: m.Endpoint,
		Cached:   held,
		Wait:     b.wait(a, m, held),
		Home:     m == home,
	}
}
