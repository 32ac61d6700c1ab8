package balance

// source is a member whose cached part of a prompt another one can fetch.
type source struct {
	member *member
	cached int // tokens that it is believed to hold
}

// sources are the two members that are believed to hold the most of a prompt:
// the second serves where the request goes to the first.
type sources [2]source

// add takes a member where it holds more than one of them.
func (s *sources) add(m *member, held int) {
	switch {
	case held == 0 || s[0].member == m || s[1].member == m:
	case held > s[0].cached:
		s[0], s[1] = source{m, held}, s[0]
	case held > s[1].cached:
		s[1] = source{m, held}
	}
}

// except returns the best source for a member.
func (s *sources) except(m *member) source {
	if s[0].member == m {
		return s[1]
	}
	return s[0]
}

// findSources looks among the members that are weighed, and among the subject's
// first homes, of which some may be leaving: those have the most to give away.
// Only what this daemon sent counts: a transfer from a home that was believed to
// hold its subject moved nothing in most cases, and the prompt was read at the
// wrong place (shared tokens read again 1.7 M instead of 1.2 M on one day).
func (b *Balancer) findSources(a *Request, set []*member) sources {
	var out sources
	key := a.affinityKey()
	if key == 0 {
		return out
	}
	for _, m := range set {
		out.add(m, m.parts.prefixTokens(a.Parts))
	}
	for _, m := range b.homesOf(key, b.listed[a.Service]) {
		if b.versionAllowed(a, m) { // versions don't share their memory
			out.add(m, m.parts.prefixTokens(a.Parts))
		}
	}
	return out
}

// homesOf returns a subject's first homes among members, the first first.
func (b *Balancer) homesOf(key uint64, set []*member) []*member {
	b.homeScratch = appendHomes(key, set, b.homeScratch[:0])
	return b.homeScratch
}

// fetchPlan is what a member can fetchPlan of a prompt.
type fetchPlan struct {
	from        *member // nil: nothing worth it
	cached      int     // tokens it has then
	costSeconds float64 // seconds that the transfer costs
}

// planFetch returns what a member that holds some tokens can fetch.
func (b *Balancer) planFetch(m *member, held int, s *sources) fetchPlan {
	from := s.except(m)
	tokens := from.cached - held
	if from.member == nil || m.fetchSeconds == 0 || tokens < minFetchTokens {
		return fetchPlan{cached: held}
	}
	return fetchPlan{
		from:        from.member,
		cached:      from.cached,
		costSeconds: fetchSetupSeconds + fetchWeight*float64(tokens)*m.fetchSeconds,
	}
}

// sharedTokens returns the tokens of the parts that other requests may share.
func (a *Request) sharedTokens() int {
	sum := 0
	for _, p := range a.Parts[:max(len(a.Parts)-1, 0)] {
		sum += p.Tokens
	}
	return sum
}
