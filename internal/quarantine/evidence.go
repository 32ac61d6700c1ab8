package quarantine

import "time"

// evidence is a crash as a diagnosis sees it: with the causes of one kind that it may have.
type evidence struct {
	at        time.Time
	open      map[Key]openCause
	explained bool // a cause of the other kind is known
	cleared   bool // some causes of this kind were excluded by what ran since
}

// openCause is a possible cause of a crash.
type openCause struct {
	sent  time.Time // when the first request with it was sent to the endpoint
	depth int       // position in the prompt, of a part
}

// ofRequests returns the requests that may have caused a crash.
func ofRequests(c *Crash) *evidence {
	e := &evidence{at: c.At, open: make(map[Key]openCause, len(c.Suspects)), cleared: len(c.Cleared) > 0}
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
	e := &evidence{at: c.At, open: make(map[Key]openCause, len(c.Parts))}
	for _, p := range c.Parts {
		o, known := e.open[p.Part]
		if !known || p.Sent.Before(o.sent) {
			o.sent = p.Sent
		}
		o.depth = max(o.depth, p.Depth)
		e.open[p.Part] = o
	}
	for _, k := range c.ClearedParts {
		if _, ok := e.open[k]; ok {
			e.cleared = true
			delete(e.open, k)
		}
	}
	return e
}

func (e *evidence) has(k Key) bool {
	_, ok := e.open[k]
	return ok
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
