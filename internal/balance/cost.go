package balance

import "time"

// cachedTokens returns how many of the prompt's tokens a member is expected to have
// cached: those that this daemon has sent there and, at the home, a part of what other
// daemons will have sent.
func cachedTokens(r *Request, m *member, home bool) int {
	known := m.parts.prefixTokens(r.Parts)
	if !home {
		return known
	}
	return max(known, int(homeCachedShare*float64(r.sharedTokens())))
}

// predictWait predicts the time to the first token of an engine, or the queueing time
// of a plain service, in seconds. cached is the number of the prompt's tokens that are
// not computed.
func (b *Balancer) predictWait(r *Request, m *member, cached int) float64 {
	slots := max(m.Slots, 1)
	running := m.running()
	holdSeconds := plainCallSeconds
	sum := 0.0
	if m.isEngine {
		holdSeconds = slotHoldSeconds
		prefillTokens := m.own.PendingPrefill + m.others.PendingPrefill + max(r.Prompt-cached, 0)
		sum = float64(m.slow)*float64(prefillTokens)/b.prefillRate.perSecond + float64(m.slow)*fullBatchSeconds*float64(running)/float64(slots)
	} else {
		sum = plainCallSeconds * float64(running) / float64(slots)
	}
	if waiting := running - slots + 1; waiting > 0 {
		sum += float64(m.slow) * holdSeconds * float64(waiting) / float64(slots)
	}
	return sum
}

// cost returns the cost of a member for a request, in seconds.
func (b *Balancer) cost(now time.Time, r *Request, m *member, home bool, s *sources) float64 {
	f := b.planFetch(m, cachedTokens(r, m, home), s)
	sum := b.predictWait(r, m, f.cached) + f.costSeconds
	uncached := max(r.Prompt-f.cached, 0)
	sum += (recomputeWeight - 1 + unscaledPrefill*(1-float64(m.slow))) * float64(uncached) / b.prefillRate.perSecond
	sum += failureCostSeconds * m.failures.current(now)
	sum += b.rerunCost(now, r, m)
	sum += b.pauseCost(now, r, m, uncached)
	if m.DataCentre != b.self {
		sum += remoteSeconds
	}
	if now.Before(m.WarmUpEnd) {
		sum += warmUpSeconds
	}
	return sum
}

// rerunCost returns the expected cost of running a request again that an engine fails to complete: its whole prompt
// is computed again elsewhere, and the time in its slot is lost.
func (b *Balancer) rerunCost(now time.Time, r *Request, m *member) float64 {
	service := b.failureRates[m.Service]
	if !m.isEngine || service == nil {
		return 0
	}
	rerunSeconds := recomputeWeight*float64(r.Prompt)/b.prefillRate.perSecond + slotHoldSeconds
	return rerunSeconds * m.failureRate.excess(now, service.mean())
}

// choice describes the chosen member.
func (b *Balancer) choice(r *Request, m, home *member, s *sources) Choice {
	f := b.planFetch(m, cachedTokens(r, m, m == home), s)
	out := Choice{
		Endpoint: m.Endpoint,
		Cached:   f.cached,
		Wait:     b.predictWait(r, m, f.cached),
		Home:     m == home,
	}
	if f.from != nil {
		out.FetchFrom = f.from.Address
	}
	return out
}
