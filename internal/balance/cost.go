package balance

import "time"

// cachedTokens returns how many of the prompt's tokens a member is expected to have
// cached: those that this daemon has sent there and, at the home, a part of what other
// daemons will have sent.
func cachedTokens(a *Request, m *member, home bool) int {
	known := m.parts.prefixTokens(a.Parts)
	if !home {
		return known
	}
	return max(known, int(homeCachedShare*float64(a.sharedTokens())))
}

// predictWait predicts the time to the first token of an engine, or the queueing time
// of a plain service, in seconds. cached is the number of the prompt's tokens that are
// not computed.
func (b *Balancer) predictWait(a *Request, m *member, held int) float64 {
	slots := max(m.Slots, 1)
	running := m.running()
	turn := plainCallSeconds
	sum := 0.0
	if m.isEngine {
		turn = slotHoldSeconds
		unread := m.own.PendingPrefill + m.others.PendingPrefill + max(a.Prompt-held, 0)
		sum = float64(unread)/b.prefillRate.perSecond + fullBatchSeconds*float64(running)/float64(slots)
	} else {
		sum = plainCallSeconds * float64(running) / float64(slots)
	}
	if over := running - slots + 1; over > 0 {
		sum += turn * float64(over) / float64(slots)
	}
	return sum
}

// cost returns the cost of a member for a request, in seconds.
func (b *Balancer) cost(now time.Time, a *Request, m *member, home bool, s *sources) float64 {
	f := b.planFetch(m, cachedTokens(a, m, home), s)
	sum := b.predictWait(a, m, f.cached) + f.costSeconds
	sum += (recomputeWeight - 1) * float64(max(a.Prompt-f.cached, 0)) / b.prefillRate.perSecond
	sum += failureCostSeconds * m.currentFailureShare(now)
	if m.DataCentre != b.self {
		sum += remoteSeconds
	}
	if now.Before(m.SlowUntil) {
		sum += warmUpSeconds
	}
	return sum
}

// choice describes the chosen member.
func (b *Balancer) choice(a *Request, m, home *member, s *sources) Choice {
	f := b.planFetch(m, cachedTokens(a, m, m == home), s)
	out := Choice{
		Endpoint: m.Endpoint,
		Cached:   f.cached,
		Wait:     b.predictWait(a, m, f.cached),
		Home:     m == home,
	}
	if f.from != nil {
		out.FetchFrom = f.from.Address
	}
	return out
}
