package ledger

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// layout is the part of PerKey and GroupCommit that the harness drives.
type layout interface {
	Intend(time.Time, Intent) []Action
	Written(time.Time, WriteResult) []Action
	ReadBack(time.Time, ReadResult) []Action
}

// call is a call to the store in flight: not yet applied, or applied but not
// answered.
type call struct {
	writer  int
	write   *Write
	read    *Read
	list    *List
	applied bool
	objects map[string]Object
	status  WriteStatus
	object  Object // after the call
}

// ownerIntent is an owner's intent and what became of it.
type ownerIntent struct {
	intent        Intent
	calledAt      int64 // by the harness's logical clock
	writer        int
	writerCrashed bool // perhaps before it answered
	granted       *Grant
	answered      bool
	abandoned     bool
}

// harness runs three daemons' writers against a store. The store may leave a
// result ambiguous and apply the write later, but what it answers is true.
type harness struct {
	now        time.Time
	clock      int64         // logical time of the history
	make       func() layout // a new writer
	writers    []layout
	store      map[string]Object
	version    uint64
	calls      []*call
	lateWrites []*Write // reported as ambiguous, or of a crashed writer; may still take effect
	intents    map[Owner]*ownerIntent
	history    []porcupine.Operation
}

func newHarness(build func() layout) *harness {
	h := &harness{now: t0, make: build, store: map[string]Object{}, intents: map[Owner]*ownerIntent{}}
	for range 3 {
		h.writers = append(h.writers, build())
	}
	return h
}

func (h *harness) perform(t *rapid.T, writer int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Write:
			h.calls = append(h.calls, &call{writer: writer, write: &a})
		case Read:
			h.calls = append(h.calls, &call{writer: writer, read: &a})
		case List:
			h.calls = append(h.calls, &call{writer: writer, list: &a})
		case Grant:
			h.recordAnswer(t, a.Intent, opResult{granted: true})
			h.intents[a.Intent.Owner].granted = &a
		case Deny:
			h.recordAnswer(t, a.Intent, opResult{denied: a.Existing.Owner})
		case Refuse:
			assert.Assert(t, a.Reason != KeyReused || h.reused(a.Intent), "refused as reused without cause")
			assert.Assert(t, !h.intents[a.Intent.Owner].answered, "%s answered twice", a.Intent.Owner)
			h.intents[a.Intent.Owner].answered = true
			h.recordUnknown(a.Intent)
		}
	}
}

// reused reports whether the key was sent with another body.
func (h *harness) reused(in Intent) bool {
	for _, o := range h.intents {
		if o.intent.Key == in.Key && o.intent.Digest != in.Digest {
			return true
		}
	}
	return false
}

func (h *harness) recordAnswer(t *rapid.T, in Intent, r opResult) {
	o := h.intents[in.Owner]
	assert.Assert(t, !o.answered, "%s answered twice", in.Owner)
	o.answered = true
	h.clock++
	h.recordOperation(in, o.calledAt, h.clock, r)
}

func (h *harness) apply(c *call) {
	c.applied = true
	switch {
	case c.list != nil:
		c.objects = maps.Clone(h.store)
	case c.read != nil:
		c.object = h.store[c.read.Name]
	default:
		c.status = h.put(c.write)
		c.object = h.store[c.write.Name]
	}
}

func (h *harness) put(a *Write) WriteStatus {
	if h.store[a.Name].Version != a.Version {
		return Conflict
	}
	h.version++
	h.store[a.Name] = Object{Version: h.version, Value: a.Value}
	return Written
}

// reply returns a call's result to its writer, or loses it.
func (h *harness) reply(t *rapid.T, c *call) {
	h.deliver(t, c, rapid.IntRange(0, 3).Draw(t, "lost") == 0)
}

func (h *harness) deliver(t *rapid.T, c *call, lost bool) {
	if c.list != nil {
		if rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
			maps.DeleteFunc(c.objects, func(string, Object) bool { return rapid.Bool().Draw(t, "missing") })
		}
		r := ListResult{Call: c.list.Call, OK: !lost, Objects: c.objects}
		h.perform(t, c.writer, h.writers[c.writer].(*GroupCommit).Listed(h.now, r))
		return
	}
	if c.read != nil {
		h.perform(t, c.writer, h.writers[c.writer].ReadBack(h.now, ReadResult{Call: c.read.Call, OK: !lost, Object: c.object}))
		return
	}
	r := WriteResult{Call: c.write.Call, Status: c.status, Version: c.object.Version}
	switch {
	case lost:
		r = WriteResult{Call: c.write.Call}
	case c.status == Conflict && rapid.Bool().Draw(t, "tells"):
		r.Current = &c.object
	}
	h.perform(t, c.writer, h.writers[c.writer].Written(h.now, r))
}

func (h *harness) intend(t *rapid.T) {
	owner := Owner(fmt.Sprint("o", len(h.intents)))
	key := keyAt(t0, byte(rapid.IntRange(0, 2).Draw(t, "key")))
	in := Intent{Workspace: "w", Key: key, Owner: owner, Deadline: h.now.Add(time.Second)}
	if rapid.IntRange(0, 5).Draw(t, "body") == 0 {
		in.Digest = Digest{1}
	}
	h.clock++
	writer := rapid.IntRange(0, len(h.writers)-1).Draw(t, "writer")
	h.intents[owner] = &ownerIntent{intent: in, calledAt: h.clock, writer: writer}
	h.perform(t, writer, h.writers[writer].Intend(h.now, in))
}

// crash replaces a writer by one without state. Its writes in flight may still take
// effect; its owners crash with it.
func (h *harness) crash(t *rapid.T) {
	writer := rapid.IntRange(0, len(h.writers)-1).Draw(t, "writer")
	h.writers[writer] = h.make()
	for _, o := range h.intents {
		o.writerCrashed = o.writerCrashed || o.writer == writer
	}
	h.calls = slices.DeleteFunc(h.calls, func(c *call) bool {
		if c.writer == writer && !c.applied && c.write != nil {
			h.lateWrites = append(h.lateWrites, c.write)
		}
		return c.writer == writer
	})
}

func (h *harness) drawCall(t *rapid.T, applied bool) *call {
	var candidates []*call
	for _, c := range h.calls {
		if c.applied == applied {
			candidates = append(candidates, c)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return rapid.SampledFrom(candidates).Draw(t, "call")
}

// completeCalls completes several calls without a fault.
func (h *harness) completeCalls(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "calls") {
		if len(h.calls) == 0 {
			return
		}
		c := h.calls[0]
		h.removeCall(c)
		if !c.applied {
			h.apply(c)
		}
		h.deliver(t, c, false)
	}
}

func (h *harness) removeCall(c *call) {
	h.calls = slices.DeleteFunc(h.calls, func(o *call) bool { return o == c })
}

// actions returns the random actions that apply to every layout. Their names fix
// the order in which rapid draws them.
func (h *harness) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"intend": h.intend,
		"apply": func(t *rapid.T) {
			if c := h.drawCall(t, false); c != nil {
				h.apply(c)
			}
		},
		"reply": func(t *rapid.T) {
			if c := h.drawCall(t, true); c != nil {
				h.removeCall(c)
				h.reply(t, c)
			}
		},
		"serve":      h.completeCalls,
		"serve more": h.completeCalls,
		"delay": func(t *rapid.T) { // an ambiguous result; the effect comes later or never
			c := h.drawCall(t, false)
			if c == nil || c.write == nil {
				return
			}
			h.removeCall(c)
			h.lateWrites = append(h.lateWrites, c.write)
			h.perform(t, c.writer, h.writers[c.writer].Written(h.now, WriteResult{Call: c.write.Call}))
		},
		"ghost": func(t *rapid.T) { // a late effect of a write
			if len(h.lateWrites) > 0 {
				h.put(rapid.SampledFrom(h.lateWrites).Draw(t, "ghost"))
			}
		},
		"unavailable": func(t *rapid.T) {
			c := h.drawCall(t, false)
			if c == nil || c.write == nil {
				return
			}
			h.removeCall(c)
			r := WriteResult{Call: c.write.Call, Status: Unavailable}
			h.perform(t, c.writer, h.writers[c.writer].Written(h.now, r))
		},
		"crash": h.crash,
		"":      h.checkGrants,
	}
}

func (h *harness) tick(t *rapid.T, by time.Duration) {
	h.now = h.now.Add(by)
	for i, l := range h.writers {
		if g, ok := l.(*GroupCommit); ok {
			h.perform(t, i, g.Tick(h.now))
		}
	}
}

// checkGrants checks that each key has at most one grant that wasn't abandoned.
func (h *harness) checkGrants(t *rapid.T) {
	held := map[Key]Owner{}
	for owner, o := range h.intents {
		if o.granted == nil || o.abandoned {
			continue
		}
		other := held[o.intent.Key]
		assert.Assert(t, other == "", "%s and %s may both dispatch", owner, other)
		held[o.intent.Key] = owner
	}
}
