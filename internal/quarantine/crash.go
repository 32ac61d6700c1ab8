package quarantine

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
)

// Incarnation identifies one run of an endpoint's process: an endpoint that
// restarts under the same ID has a new one.
type Incarnation uint64

// IncarnationOf returns the incarnation of an endpoint that started at born, the
// zero time if that is not reported.
func IncarnationOf(id fleet.EndpointID, born time.Time) Incarnation {
	return Incarnation(xxh3.HashString(string(id) + " " + strconv.FormatInt(born.UnixMilli(), 10)))
}

// MarshalText returns 16 hexadecimal digits.
func (inc Incarnation) MarshalText() ([]byte, error) {
	return fmt.Appendf(nil, "%016x", uint64(inc)), nil
}

// UnmarshalText parses a hexadecimal number.
func (inc *Incarnation) UnmarshalText(text []byte) error {
	n, err := strconv.ParseUint(string(text), 16, 64)
	*inc = Incarnation(n)
	return Error.Wrap(err)
}

// Crash is the unannounced exit of an endpoint's process.
type Crash struct {
	Endpoint Incarnation
	At       time.Time // by the fleet's clock
	// Void means that it was no crash after all: the endpoint was leaving, or it
	// still responds.
	Void bool `json:",omitempty"`
	// Suspects are the requests at the endpoint that had produced no part of a
	// response: one of them may be the cause. Requests that had produced some are
	// not suspected, because they had run for a while.
	Suspects []Suspect `json:",omitempty"`
	// Cleared are suspects that an endpoint has since run without a crash.
	Cleared []Key `json:",omitempty"`
	// Parts are the parts of the suspects' prompts: one of them may be the cause.
	Parts []PartSuspect `json:",omitempty"`
	// ClearedParts are parts on which an endpoint has since written a response without a crash.
	ClearedParts []Key `json:",omitempty"`
}

// Suspect is a request that may be the cause of a crash.
type Suspect struct {
	Request Key
	Sent    time.Time // when it was first sent to the endpoint, by the fleet's clock
}

// PartSuspect is a part of prompts that may be the cause of a crash.
type PartSuspect struct {
	Part      Key
	Workspace uint32    // hash, of a suspect whose prompt has the part
	Depth     int       // position in that prompt
	Sent      time.Time // when the first such suspect was sent, by the fleet's clock
}

// Settled is how long an endpoint must have written a response until its request isn't suspected
// of a crash: the cause takes effect when the response begins.
const Settled = 300 * time.Millisecond

// maxParts bounds the parts of a crash's suspects, most of which share some.
const maxParts = 96

// maxSuspects bounds the suspects of a crash. An endpoint runs some dozens of
// requests at once, few of which have not started their responses.
const maxSuspects = 64

// timeTolerance is the difference below which two reported times of one event
// count as equal: many times the rounding error of one transmission between
// daemons, and far below correlationWindow.
const timeTolerance = 5 * time.Millisecond

// merge adds another daemon's report of the same crash. The earlier time wins. It returns whether
// that changed c, and whether it only cleared parts.
func (c *Crash) merge(o *Crash) (changed, onlyParts bool) {
	if o.Void && !c.Void {
		c.Void, changed = true, true
	}
	if c.At.Sub(o.At) > timeTolerance {
		c.At, changed = o.At, true
	}
	for _, s := range o.Suspects {
		changed = c.AddSuspect(s) || changed
	}
	for _, k := range o.Cleared {
		changed = c.clear(k) || changed
	}
	for _, p := range o.Parts {
		changed = c.AddPart(p) || changed
	}
	cleared := false
	for _, k := range o.ClearedParts {
		cleared = c.clearPart(k) || cleared
	}
	return changed || cleared, !changed
}

// Shift adds d to all times, to convert them from one daemon's clock to another's.
func (c *Crash) Shift(d time.Duration) {
	c.At = c.At.Add(d)
	for i := range c.Suspects {
		c.Suspects[i].Sent = c.Suspects[i].Sent.Add(d)
	}
	for i := range c.Parts {
		c.Parts[i].Sent = c.Parts[i].Sent.Add(d)
	}
}

// AddRequest adds a request and the parts of its prompt as possible causes.
func (c *Crash) AddRequest(id *Identity, sent time.Time) {
	c.AddSuspect(Suspect{Request: id.Request, Sent: sent})
	for i, k := range id.Parts {
		c.AddPart(PartSuspect{Part: k, Workspace: id.Workspace(), Depth: i, Sent: sent})
	}
}

// AddPart adds a part that may be the cause, or its earlier sending time, and reports whether
// that changed c.
func (c *Crash) AddPart(p PartSuspect) bool {
	i := slices.IndexFunc(c.Parts, func(o PartSuspect) bool { return o.Part == p.Part && o.Workspace == p.Workspace })
	switch {
	case i < 0 && len(c.Parts) < maxParts:
		c.Parts = append(c.Parts, p)
		return true
	case i >= 0 && c.Parts[i].Sent.Sub(p.Sent) > timeTolerance:
		c.Parts[i].Sent = p.Sent
		return true
	}
	return false
}

// AddSuspect adds a request that may be the cause, or its earlier sending time,
// and reports whether that changed c.
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

// clear records that a request isn't the cause, and reports whether that changed c.
func (c *Crash) clear(k Key) bool {
	if len(c.Cleared) >= maxSuspects || slices.Contains(c.Cleared, k) {
		return false
	}
	c.Cleared = append(c.Cleared, k)
	return true
}

// clearPart records that a part isn't the cause, and reports whether that changed c.
func (c *Crash) clearPart(k Key) bool {
	if len(c.ClearedParts) >= maxParts || slices.Contains(c.ClearedParts, k) {
		return false
	}
	c.ClearedParts = append(c.ClearedParts, k)
	return true
}

// hasPart reports whether a part may be the cause.
func (c *Crash) hasPart(k Key) bool {
	return !c.Void && !slices.Contains(c.ClearedParts, k) &&
		slices.ContainsFunc(c.Parts, func(p PartSuspect) bool { return p.Part == k })
}

func (c *Crash) index(k Key) int {
	return slices.IndexFunc(c.Suspects, func(s Suspect) bool { return s.Request == k })
}

// isSuspect reports whether a request may be the cause.
func (c *Crash) isSuspect(k Key) bool {
	return !c.Void && c.index(k) >= 0 && !slices.Contains(c.Cleared, k)
}

// anySuspect reports whether f holds for any request that may be the cause.
func (c *Crash) anySuspect(f func(k Key) bool) bool {
	return slices.ContainsFunc(c.Suspects, func(s Suspect) bool { return c.isSuspect(s.Request) && f(s.Request) })
}

// clone returns a deep copy.
func (c *Crash) clone() Crash {
	out := *c
	out.Suspects, out.Cleared = slices.Clone(c.Suspects), slices.Clone(c.Cleared)
	out.Parts, out.ClearedParts = slices.Clone(c.Parts), slices.Clone(c.ClearedParts)
	return out
}
