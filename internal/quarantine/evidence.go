package quarantine

import (
	"slices"
	"time"
)

// evidence is a crash as a diagnosis sees it: with the causes of one kind that it may have.
type evidence struct {
	at        time.Time
	open      map[Key]openCause
	prompts   []Prompt
	explained bool  // a cause of the other kind is known
	doubtful  bool  // a request that is suspected of enough crashes may be the cause
	parts     []Key // likely causes of the other kind
	excluded  []Key // parts that are not open, since an endpoint has written a response on them
	fresh     bool  // other daemons may not have reported their suspects yet
	sole      bool  // one cause alone is left over that is so in other crashes too
}

// openCause is a possible cause of a crash.
type openCause struct {
	sent    time.Time // when the first request with it was sent to the endpoint
	depth   int       // position in the prompt, of a part
	prompts int       // with a part
}

// ofRequests returns the requests that may have caused a crash.
func ofRequests(c *Crash) *evidence {
	e := &evidence{at: c.At, open: make(map[Key]openCause, len(c.Suspects))}
	for _, s := range c.Suspects {
		e.open[s.Request] = openCause{sent: s.Sent}
	}
	for _, k := range c.Cleared {
		delete(e.open, k)
	}
	return e
}

// ofParts returns the parts of prompts that may have caused a crash.
func ofParts(c *Crash) *evidence {
	e := &evidence{at: c.At, open: map[Key]openCause{}, prompts: c.Prompts}
	for _, p := range c.Prompts {
		for depth, id := range p.Parts {
			k := PartOf(p.Scope, id)
			o, known := e.open[k]
			if !known || p.Sent.Before(o.sent) {
				o.sent = p.Sent
			}
			o.depth = max(o.depth, depth)
			o.prompts++
			e.open[k] = o
		}
	}
	for _, k := range c.ClearedParts {
		if _, ok := e.open[k]; ok {
			e.excluded = append(e.excluded, k)
			delete(e.open, k)
		}
	}
	return e
}

// together reports whether each prompt that has part k also has part o, which is left over as well.
func (e *evidence) together(k, o Key) bool {
	return e.has(o) && !slices.ContainsFunc(e.prompts, func(p Prompt) bool { return p.has(k) && !p.has(o) })
}

func (e *evidence) has(k Key) bool {
	_, ok := e.open[k]
	return ok
}

// among returns the possible causes that are in a set.
func (e *evidence) among(set map[Key]bool) []Key {
	var out []Key
	for k := range set {
		if e.has(k) {
			out = append(out, k)
		}
	}
	return out
}

// hasLikelyPartBeyond reports whether a part is a likely cause of the crash, and none of another one.
func (e *evidence) hasLikelyPartBeyond(other *evidence) bool {
	return slices.ContainsFunc(e.parts, func(k Key) bool { return !slices.Contains(other.parts, k) })
}

// countCauses returns the number of crashes by possible cause.
func countCauses(crashes []*evidence) map[Key]int {
	n := map[Key]int{}
	for _, c := range crashes {
		for k := range c.open {
			n[k]++
		}
	}
	return n
}

// promptsOf returns the number of prompts whose parts have a scope.
func (e *evidence) promptsOf(scope uint32) int {
	n := 0
	for i := range e.prompts {
		if e.prompts[i].Scope == scope {
			n++
		}
	}
	return n
}

// hasExcluded reports whether a part with a scope was excluded.
func (e *evidence) hasExcluded(scope uint32) bool {
	return slices.ContainsFunc(e.excluded, func(k Key) bool { return k.Scope == scope })
}

// any reports whether f holds for any possible cause.
func (e *evidence) any(f func(k Key) bool) bool {
	for k := range e.open {
		if f(k) {
			return true
		}
	}
	return false
}
