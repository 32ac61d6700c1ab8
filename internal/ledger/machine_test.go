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

// layout is what the machine drives.
type layout interface {
	Intend(time.Time, Intent) []Action
	Written(time.Time, WriteResult) []Action
	ReadBack(time.Time, ReadResult) []Action
}

// call is a store call on its way: not applied, or applied and unanswered.
type call struct {
	writer  int
	write   *Write
	read    *Read
	list    *List
	applied bool
	objects map[string]Object
	status  WriteStatus
	object  Object // after it
}

// wish is one owner's intent.
type wish struct {
	intent  Intent
	called  int64
	writer  int
	lost    bool // its writer died before it answered
	granted *Grant
	over    bool // answered
	dropped bool // abandoned
}

// world is daemons that run the ledger against a store that loses, delays and
// doubles nothing it admits to.
type world struct {
	now     time.Time
	clock   int64
	make    func() layout
	writers []layout
	store   map[string]Object
	version uint64
	calls   []*call
	ghosts  []*Write // told to be ambiguous, may still take effect
	wishes  map[Owner]*wish
	history []porcupine.Operation
}

func newWorld(build func() layout) *world {
	w := &world{now: t0, make: build, store: map[string]Object{}, wishes: map[Owner]*wish{}}
	for range 3 {
		w.writers = append(w.writers, build())
	}
	return w
}

func (w *world) do(t *rapid.T, writer int, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Write:
			w.calls = append(w.calls, &call{writer: writer, write: &a})
		case Read:
			w.calls = append(w.calls, &call{writer: writer, read: &a})
		case List:
			w.calls = append(w.calls, &call{writer: writer, list: &a})
		case Grant:
			w.answer(t, a.Intent, opResult{granted: true})
			w.wishes[a.Intent.Owner].granted = &a
		case Deny:
			w.answer(t, a.Intent, opResult{denied: a.Existing.Owner})
		case Refuse:
			assert.Assert(t, a.Reason != KeyReused || w.reused(a.Intent), "refused as reused without cause")
			assert.Assert(t, !w.wishes[a.Intent.Owner].over, "%s answered twice", a.Intent.Owner)
			w.wishes[a.Intent.Owner].over = true
			w.unsure(a.Intent)
		}
	}
}

// reused reports whether the key was sent with another body.
func (w *world) reused(in Intent) bool {
	for _, o := range w.wishes {
		if o.intent.Key == in.Key && o.intent.Digest != in.Digest {
			return true
		}
	}
	return false
}

func (w *world) answer(t *rapid.T, in Intent, r opResult) {
	own := w.wishes[in.Owner]
	assert.Assert(t, !own.over, "%s answered twice", in.Owner)
	own.over = true
	w.clock++
	w.record(in, own.called, w.clock, r)
}

func (w *world) apply(c *call) {
	c.applied = true
	switch {
	case c.list != nil:
		c.objects = maps.Clone(w.store)
	case c.read != nil:
		c.object = w.store[c.read.Name]
	default:
		c.status = w.put(c.write)
		c.object = w.store[c.write.Name]
	}
}

func (w *world) put(a *Write) WriteStatus {
	if w.store[a.Name].Version != a.Version {
		return Conflict
	}
	w.version++
	w.store[a.Name] = Object{Version: w.version, Value: a.Value}
	return Written
}

// reply tells the writer the truth, or that nobody knows.
func (w *world) reply(t *rapid.T, c *call) {
	w.tell(t, c, rapid.IntRange(0, 3).Draw(t, "lost") == 0)
}

func (w *world) tell(t *rapid.T, c *call, lost bool) {
	if c.list != nil {
		if rapid.IntRange(0, 3).Draw(t, "cut") == 0 {
			maps.DeleteFunc(c.objects, func(string, Object) bool { return rapid.Bool().Draw(t, "missing") })
		}
		r := ListResult{Call: c.list.Call, OK: !lost, Objects: c.objects}
		w.do(t, c.writer, w.writers[c.writer].(*GroupCommit).Listed(w.now, r))
		return
	}
	if c.read != nil {
		w.do(t, c.writer, w.writers[c.writer].ReadBack(w.now, ReadResult{Call: c.read.Call, OK: !lost, Object: c.object}))
		return
	}
	r := WriteResult{Call: c.write.Call, Status: c.status, Version: c.object.Version}
	switch {
	case lost:
		r = WriteResult{Call: c.write.Call}
	case c.status == Conflict && rapid.Bool().Draw(t, "tells"):
		r.Current = &c.object
	}
	w.do(t, c.writer, w.writers[c.writer].Written(w.now, r))
}

func (w *world) intend(t *rapid.T) {
	owner := Owner(fmt.Sprint("o", len(w.wishes)))
	key := keyAt(t0, byte(rapid.IntRange(0, 2).Draw(t, "key")))
	in := Intent{Workspace: "w", Key: key, Owner: owner, Deadline: w.now.Add(time.Second)}
	if rapid.IntRange(0, 5).Draw(t, "body") == 0 {
		in.Digest = Digest{1}
	}
	w.clock++
	at := rapid.IntRange(0, len(w.writers)-1).Draw(t, "writer")
	w.wishes[owner] = &wish{intent: in, called: w.clock, writer: at}
	w.do(t, at, w.writers[at].Intend(w.now, in))
}

// crash replaces a writer by one that knows nothing. What it had sent may
// still take effect; its owners died with it.
func (w *world) crash(t *rapid.T) {
	at := rapid.IntRange(0, len(w.writers)-1).Draw(t, "writer")
	w.writers[at] = w.make()
	for _, o := range w.wishes {
		o.lost = o.lost || o.writer == at
	}
	w.calls = slices.DeleteFunc(w.calls, func(c *call) bool {
		if c.writer == at && !c.applied && c.write != nil {
			w.ghosts = append(w.ghosts, c.write)
		}
		return c.writer == at
	})
}

func (w *world) take(t *rapid.T, applied bool) *call {
	var fit []*call
	for _, c := range w.calls {
		if c.applied == applied {
			fit = append(fit, c)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return rapid.SampledFrom(fit).Draw(t, "call")
}

// serve lets several calls go through without a fault.
func (w *world) serve(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "calls") {
		if len(w.calls) == 0 {
			return
		}
		c := w.calls[0]
		w.forget(c)
		if !c.applied {
			w.apply(c)
		}
		w.tell(t, c, false)
	}
}

func (w *world) forget(c *call) {
	w.calls = slices.DeleteFunc(w.calls, func(o *call) bool { return o == c })
}

// actions of the machine that every layout sees.
func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"intend": w.intend,
		"apply": func(t *rapid.T) {
			if c := w.take(t, false); c != nil {
				w.apply(c)
			}
		},
		"reply": func(t *rapid.T) {
			if c := w.take(t, true); c != nil {
				w.forget(c)
				w.reply(t, c)
			}
		},
		"serve":      w.serve,
		"serve more": w.serve,
		"delay": func(t *rapid.T) { // ambiguous, and the effect comes later or never
			c := w.take(t, false)
			if c == nil || c.write == nil {
				return
			}
			w.forget(c)
			w.ghosts = append(w.ghosts, c.write)
			w.do(t, c.writer, w.writers[c.writer].Written(w.now, WriteResult{Call: c.write.Call}))
		},
		"ghost": func(t *rapid.T) {
			if len(w.ghosts) > 0 {
				w.put(rapid.SampledFrom(w.ghosts).Draw(t, "ghost"))
			}
		},
		"unavailable": func(t *rapid.T) {
			c := w.take(t, false)
			if c == nil || c.write == nil {
				return
			}
			w.forget(c)
			r := WriteResult{Call: c.write.Call, Status: Unavailable}
			w.do(t, c.writer, w.writers[c.writer].Written(w.now, r))
		},
		"crash": w.crash,
		"":      w.check,
	}
}

func (w *world) tick(t *rapid.T, by time.Duration) {
	w.now = w.now.Add(by)
	for i, l := range w.writers {
		if g, ok := l.(*GroupCommit); ok {
			w.do(t, i, g.Tick(w.now))
		}
	}
}

// check: of a key's grants that were not given back there is at most one.
func (w *world) check(t *rapid.T) {
	held := map[Key]Owner{}
	for owner, o := range w.wishes {
		if o.granted == nil || o.dropped {
			continue
		}
		other := held[o.intent.Key]
		assert.Assert(t, other == "", "%s and %s may both dispatch", owner, other)
		held[o.intent.Key] = owner
	}
}
