package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Incarnation names one life of an endpoint: one that starts again under its ID is
// another one.
type Incarnation uint64

// IncarnationOf returns the name of the life that began at born, zero where that isn't
// told.
func IncarnationOf(id fleet.EndpointID, born time.Time) Incarnation {
	return Incarnation(xxh3.HashString(string(id) + " " + strconv.FormatInt(born.UnixMilli(), 10)))
}

// MarshalText returns the life in hexadecimal.
func (inc Incarnation) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%016x", uint64(inc)), nil
}

// UnmarshalText accepts the form of MarshalText.
func (inc *Incarnation) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*inc = Incarnation(n)
	return Error.Wrap(err)
}

// Crash is the end of an endpoint's process that nothing announced.
type Crash struct {
	Endpoint Incarnation
	At       time.Time // by the fleet's clock
	// Void says that it was none: the endpoint was leaving, or still answers.
	Void bool `json:",omitempty"`
	// Suspects are the requests that were there and had no piece of an answer:
	// one of them may be the cause. Others had run for a while, and aren't.
	Suspects []Suspect `json:",omitempty"`
	// Cleared are suspects that an endpoint has run since.
	Cleared []Key `json:",omitempty"`
}

// Suspect is a request that may be a crash's cause.
type Suspect struct {
	Request Key
	Sent    time.Time // the first to the endpoint, by the fleet's clock
}

// maxSuspects bounds the suspects of a crash: an endpoint runs some dozens of
// requests at once, of which few have no piece of an answer yet.
const maxSuspects = 64

// timeTolerance is how far apart two tellings of one moment may be: what clocks lose
// to rounding on each way, many times over, and far below what is weighed.
const timeTolerance = 5 * time.Millisecond

// merge adds what another daemon knows of the same crash, and reports whether
// that was new.
func (c *Crash) merge(o *Crash) bool {
	changed := false
	if o.Void && !c.Void {
		c.Void, changed = true, true
	}
	if c.At.Sub(o.At) > timeTolerance {
		c.At, changed = o.At, true
	}
	for _, s := range o.Suspects {
		if c.AddSuspect(s) {
			changed = true
		}
	}
	for _, k := range o.Cleared {
		if c.clear(k) {
			changed = true
		}
	}
	return changed
}

// Shift moves the crash to another clock's time.
func (c *Crash) Shift(d time.Duration) {
	c.At = c.At.Add(d)
	for i := range c.Suspects {
		c.Suspects[i].Sent = c.Suspects[i].Sent.Add(d)
	}
}

// AddSuspect adds a request that may be its cause, and reports whether that was new.
func (c *Crash) AddSuspect(s Suspect) bool {
	i := c.index(s.Request)
	switch {
	case i < 0 && len(c.Suspects) < maxSuspects:
		c.Suspects = append(c.Suspects, s)
		return true
	case i >= 0 && c.Suspects[i].Sent.Sub(s.Sent) > timeTolerance:
		c.Suspects[i].Sent = s.Sent
		return true
	}
	return false
}

// clear notes that a request isn't its cause, and reports whether that was new.
func (c *Crash) clear(k Key) bool {
	if len(c.Cleared) >= maxSuspects || slices.Contains(c.Cleared, k) {
		return false
	}
	c.Cleared = append(c.Cleared, k)
	return true
}

func (c *Crash) index(k Key) int {
	return slices.IndexFunc(c.Suspects, func(s Suspect) bool { return s.Request == k })
}

// isSuspect reports whether a request may be its cause.
func (c *Crash) isSuspect(k Key) bool {
	return !c.Void && c.index(k) >= 0 && !slices.Contains(c.Cleared, k)
}

// anySuspect reports whether something holds for a request that may be its cause.
func (c *Crash) anySuspect(f func(k Key) bool) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return c.isSuspect(s.Request) && f(s.Request) })
}

// clone returns a copy that shares nothing.
func (c *Crash) clone() Crash {
	out := *c
	out.Suspects, out.Cleared = slices.Clone(c.Suspects), slices.Clone(c.Cleared)
	return out
}
