package balance

// source is a member whose cached part of a prompt another one can fetch.
type source struct {
	member *member
	held   int // tokens that it is believed to hold
}

// sources are the two members that are believed to hold the most of a prompt:
// the second serves where the request goes to the first.
type sources [2]source

// add takes a member where it holds more than one of them.
func (s *sources) add(m *member, held int) {
	switch {
	case held == 0 || s[0].member == m || s[1].member == m:
	case held > s[0].held:
		s[0], s[1] = source{m, held}, s[0]
	case held > s[1].held:
		s[1] = source{m, held}
	}
}

// but returns the best source for a member.
func (s *sources) but(m *member) source {
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
func (b *Balancer) findSources(a *Ask, set []*member) sources {
	var out sources
	key := a.subject()
	if key == 0 {
		return out
	}
	for _, m := range set {
		out.add(m, m.parts.holds(a.Parts))
	}
	for _, m := range b.firstHomes(key, b.listed[a.Service]) {
		if b.onSide(a, m) { // versions don't share their memory
			out.add(m, m.parts.holds(a.Parts))
		}
	}
	return out
}

// firstHomes returns a subject's first homes among members, the first first.
func (b *Balancer) firstHomes(key uint64, set []*member) []*member {
	b.homes = rank(key, set, b.homes[:0])
	return b.homes
}

// fetch is what a member can fetch of a prompt.
type fetch struct {
	from   *member // nil: nothing worth it
	held   int     // tokens it has then
	weight float64 // seconds that the transfer costs
}

// fetchable returns what a member that holds some tokens can fetch.
func (b *Balancer) fetchable(m *member, held int, s *sources) fetch {
	from := s.but(m)
	tokens := from.held - held
	if from.member == nil || m.fetchSeconds == 0 || tokens < fetchTokens {
		return fetch{held: held}
	}
	return fetch{
		from:   from.member,
		held:   from.held,
		weight: fetchSetup + fetchWeight*float64(tokens)*m.fetchSeconds,
	}
}

// shared returns the tokens of the parts that other requests may share.
func (a *Ask) shared() int {
	sum := 0
	for _, p := range a.Parts[:max(len(a.Parts)-1, 0)] {
		sum += p.Tokens
	}
	return sum
}
