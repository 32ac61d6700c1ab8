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

// EndpointHash returns the hash of an endpoint's ID, which all its incarnations share.
func EndpointHash(id fleet.EndpointID) uint32 { return uint32(xxh3.HashString(string(id))) }

// Crash is the unannounced exit of an endpoint's process.
type Crash struct {
	Endpoint Incarnation
	// Hash is that of the endpoint's ID, 0 from an earlier release. Daemons may know different
	// starts of one endpoint for a while.
	Hash uint32    `json:",omitempty"`
	At   time.Time // by the fleet's clock
	// Void means that it was no crash after all: the endpoint was leaving, or it
	// still responds.
	Void bool `json:",omitempty"`
	// Suspects are the requests at the endpoint that had produced no part of a
	// response: one of them may be the cause. Requests that had produced some are
	// not suspected, because they had run for a while.
	Suspects []Suspect `json:",omitempty"`
	// Cleared are suspects that an endpoint has since run without a crash.
	Cleared []Key `json:",omitempty"`
	// Prompts are those of the suspects: one of their parts may be the cause.
	Prompts []Prompt `json:",omitempty"`
	// ClearedParts are parts on which an endpoint has since written a response without a crash.
	ClearedParts []Key `json:",omitempty"`
}

// Suspect is a request that may be the cause of a crash.
type Suspect struct {
	Request Key
	Sent    time.Time // when it was first sent to the endpoint, by the fleet's clock
}

// Prompt is what the prompts of some suspects of a crash have in common with others: all parts
// but the last.
type Prompt struct {
	Workspace uint32 // hash
	Scope     uint32 // of the parts, see PartScope
	Parts     []uint64
	Sent      time.Time // when the first such suspect was sent, by the fleet's clock
}

func (p *Prompt) same(o *Prompt) bool {
	return p.Workspace == o.Workspace && p.Scope == o.Scope && slices.Equal(p.Parts, o.Parts)
}

func (p *Prompt) has(k Key) bool { return p.Scope == k.Scope && slices.Contains(p.Parts, k.ID) }

// Settled is how long an endpoint must have written a response until its request isn't suspected
// of a crash: the cause takes effect when the response begins.
const Settled = 300 * time.Millisecond

// maxPrompts bounds the prompts of a crash's suspects, most of which have the same parts, and
// maxParts the parts of all of them.
const (
	maxPrompts = 32
	maxParts   = 128
)

// maxSuspects bounds the suspects of a crash. An endpoint runs some dozens of
// requests at once, few of which have not started their responses.
const maxSuspects = 64

// sameCrash is the largest difference between the times of one crash that daemons report with
// different starts of the endpoint. It is far less than a restart takes.
const sameCrash = 500 * time.Millisecond

// same reports whether another daemon's report is of the same crash.
func (c *Crash) same(o *Crash) bool {
	apart := c.At.Sub(o.At).Abs()
	return c.Endpoint == o.Endpoint && apart < minRestartTime || c.Hash == o.Hash && c.Hash != 0 && apart < sameCrash
}

// timeTolerance is the difference below which two reported times of one event
// count as equal: many times the rounding error of one transmission between
// daemons, and far below correlationWindow.
const timeTolerance = 5 * time.Millisecond

// merge adds another daemon's report of the same crash. The earlier time wins. It returns whether
// that changed c, and whether it only cleared requests and parts.
func (c *Crash) merge(o *Crash) (changed, onlyCleared bool) {
	if o.Void && !c.Void {
		c.Void, changed = true, true
	}
	if c.Hash == 0 && o.Hash != 0 {
		c.Hash, changed = o.Hash, true
	}
	if c.At.Sub(o.At) > timeTolerance {
		c.At, changed = o.At, true
	}
	for _, s := range o.Suspects {
		changed = c.AddSuspect(s) || changed
	}
	for _, p := range o.Prompts {
		changed = c.AddPrompt(p) || changed
	}
	cleared := false
	for _, k := range o.Cleared {
		cleared = c.clear(k) || cleared
	}
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
	for i := range c.Prompts {
		c.Prompts[i].Sent = c.Prompts[i].Sent.Add(d)
	}
}

// AddRequest adds a request and its prompt as possible causes.
func (c *Crash) AddRequest(id *Identity, sent time.Time) {
	c.AddSuspect(Suspect{Request: id.Request, Sent: sent})
	if len(id.Parts) > 0 {
		c.AddPrompt(Prompt{Workspace: id.Workspace(), Scope: id.Scope, Parts: id.Parts, Sent: sent})
	}
}

// AddPrompt adds a prompt whose parts may be the cause, or its earlier sending time, and reports
// whether that changed c.
func (c *Crash) AddPrompt(p Prompt) bool {
	i := slices.IndexFunc(c.Prompts, func(o Prompt) bool { return o.same(&p) })
	switch {
	case i < 0 && len(c.Prompts) < maxPrompts && c.partCount()+len(p.Parts) <= maxParts:
		c.Prompts = append(c.Prompts, p)
		return true
	case i >= 0 && c.Prompts[i].Sent.Sub(p.Sent) > timeTolerance:
		c.Prompts[i].Sent = p.Sent
		return true
	}
	return false
}

func (c *Crash) partCount() int {
	n := 0
	for i := range c.Prompts {
		n += len(c.Prompts[i].Parts)
	}
	return n
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
		slices.ContainsFunc(c.Prompts, func(p Prompt) bool { return p.has(k) })
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
	out.Prompts, out.ClearedParts = slices.Clone(c.Prompts), slices.Clone(c.ClearedParts)
	return out
}
