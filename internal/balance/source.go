package balance

// source is a member from which others can fetch the cached part of a prompt.
type source struct {
	member *member
	cached int // tokens that it is known to have
}

// sources are the two members that have the most of a prompt cached: the second is
// used when the request goes to the first.
type sources [2]source

// add inserts a member if it has more cached than one of the two.
func (s *sources) add(m *member, cached int) {
	switch {
	case cached == 0 || s[0].member == m || s[1].member == m:
	case cached > s[0].cached:
		s[0], s[1] = source{m, cached}, s[0]
	case cached > s[1].cached:
		s[1] = source{m, cached}
	}
}

// except returns the best source for a member, which is not itself.
func (s *sources) except(m *member) source {
	if s[0].member == m {
		return s[1]
	}
	return s[0]
}

// findSources looks among the members that are compared, and among the first homes of
// the affinity key, including draining ones. Only tokens that this daemon sent itself
// count: when homes were assumed to have their share cached, most transfers from them
// moved nothing, and the prompt was computed at the wrong endpoint (1.7 M instead of
// 1.2 M shared tokens recomputed in one day).
func (b *Balancer) findSources(r *Request, set []*member) sources {
	var out sources
	key := r.affinityKey()
	if key == 0 {
		return out
	}
	for _, m := range set {
		out.add(m, m.parts.prefixTokens(r.Parts))
	}
	if sameMembers(set, b.listed[r.Service]) {
		return out
	}
	for _, m := range b.listedHomes(key, r) {
		if b.versionAllowed(r, m) { // versions don't share cached tokens
			out.add(m, m.parts.prefixTokens(r.Parts))
		}
	}
	return out
}

// fetchPlan is what a member can fetch of a prompt.
type fetchPlan struct {
	from        *member // nil: no fetch
	cached      int     // tokens it has cached afterwards
	costSeconds float64 // cost of the transfer
}

// planFetch returns what a member that has some tokens cached should fetch, from one of its
// own version.
func (b *Balancer) planFetch(m *member, cached int, s *sources) fetchPlan {
	from := s.except(m)
	tokens := from.cached - cached
	if from.member == nil || from.member.Version != m.Version || m.fetchSeconds == 0 || tokens < minFetchTokens {
		return fetchPlan{cached: cached}
	}
	return fetchPlan{
		from:        from.member,
		cached:      from.cached,
		costSeconds: fetchSetupSeconds + fetchWeight*float64(tokens)*m.fetchSeconds,
	}
}

// sharedTokens returns the number of tokens in the parts that other requests may
// share.
func (r *Request) sharedTokens() int {
	sum := 0
	for _, p := range r.Parts[:max(len(r.Parts)-1, 0)] {
		sum += p.Tokens
	}
	return sum
}
