package integration

import (
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
)

// register is the state of one key in the sequential specification: its order
// runs at most once and has one number for ever.
type register struct {
	ran   bool
	order string // empty while no caller has seen it
}

// sending is an operation's input: an attempt to order under a key, or the
// look at the service's count at the end.
type sending struct {
	key  string
	look bool
}

// sent is an operation's output.
type sent struct {
	attempt
	count int // of a look
}

// atMostOnce is the specification of orders: not-run changes nothing, an
// answer is the one run's, and may-have-run is either.
var atMostOnce = porcupine.NondeterministicModel{
	Partition: byKey,
	Init:      func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		return step(state.(register), input.(sending), output.(sent))
	},
}

func step(s register, in sending, out sent) []any {
	once := register{ran: true}
	switch {
	case in.look:
		if (out.count == 1 && s.ran) || (out.count == 0 && !s.ran) {
			return []any{s}
		}
		return nil
	case out.class == notRun:
		return []any{s}
	case out.class == mayHaveRun && s.ran:
		return []any{s}
	case out.class == mayHaveRun:
		return []any{s, once}
	case !s.ran || s.order == "" || s.order == out.order:
		return []any{register{ran: true, order: out.order}}
	default:
		return nil
	}
}

func byKey(all []porcupine.Operation) [][]porcupine.Operation {
	at := make(map[string]int)
	var parts [][]porcupine.Operation
	for _, op := range all {
		key := op.Input.(sending).key
		i, ok := at[key]
		if !ok {
			i = len(parts)
			at[key] = i
			parts = append(parts, nil)
		}
		parts[i] = append(parts[i], op)
	}
	return parts
}

// history records attempts as they happen. Safe for concurrent use.
type history struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func newHistory() *history { return &history{start: time.Now()} }

// Times of operations, ns from the start. An attempt that may have run may
// take effect at any time until the look at the end.
const (
	anyTime = int64(1) << 60
	theEnd  = anyTime + 1
)

// try makes one attempt and records it.
func (h *history) try(key string, f func() attempt) attempt {
	called := time.Since(h.start).Nanoseconds()
	a := f()
	returned := time.Since(h.start).Nanoseconds()
	if a.class == mayHaveRun {
		returned = anyTime
	}
	h.add(porcupine.Operation{Input: sending{key: key}, Output: sent{attempt: a}, Call: called, Return: returned})
	return a
}

// look records how often a key's order ran in the end.
func (h *history) look(key string, count int) {
	h.add(porcupine.Operation{Input: sending{key: key, look: true}, Output: sent{count: count}, Call: theEnd, Return: theEnd})
}

func (h *history) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// attempts returns the attempts by key.
func (h *history) attempts() map[string][]attempt {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := make(map[string][]attempt)
	for _, op := range h.ops {
		if in := op.Input.(sending); !in.look {
			out[in.key] = append(out[in.key], op.Output.(sent).attempt)
		}
	}
	return out
}

// checkTimeout bounds the search for a linearisation.
const checkTimeout = 60 * time.Second

func (h *history) check(t *testing.T) {
	t.Helper()
	model := atMostOnce.ToModel()
	result := porcupine.CheckOperationsTimeout(model, h.ops, checkTimeout)
	if result == porcupine.Ok {
		return
	}
	for _, part := range byKey(h.ops) {
		if !porcupine.CheckOperations(model, part) {
			for _, op := range part {
				t.Logf("%+v: %+v, %d to %d", op.Input, op.Output, op.Call, op.Return)
			}
		}
	}
	assert.Equal(t, result, porcupine.Ok, "the history of orders is not one of at-most-once registers")
}

// Guards against a specification that accepts what callers must never see.
func TestSpecificationOfOrders(t *testing.T) {
	answer := func(order string) sent { return sent{attempt: attempt{class: ran, order: order}} }
	unknown := sent{attempt: attempt{class: mayHaveRun}}
	refused := sent{attempt: attempt{class: notRun}}
	for name, c := range map[string]struct {
		outputs []sent
		count   int
		ok      bool
	}{
		"one run answered to two":     {[]sent{answer("1"), answer("1")}, 1, true},
		"unknown and never ran":       {[]sent{unknown, refused}, 0, true},
		"unknown and ran":             {[]sent{unknown, refused}, 1, true},
		"two runs":                    {[]sent{answer("1"), answer("2")}, 1, false},
		"not run, and yet it was":     {[]sent{refused, refused}, 1, false},
		"answered, and nothing ran":   {[]sent{answer("1")}, 0, false},
		"unknown, and ran twice":      {[]sent{unknown}, 2, false},
		"not run and run by a repeat": {[]sent{refused, answer("1")}, 1, true},
	} {
		h := newHistory()
		for _, o := range c.outputs {
			h.try("k", func() attempt { return o.attempt })
		}
		h.look("k", c.count)
		result := porcupine.CheckOperations(atMostOnce.ToModel(), h.ops)
		assert.Equal(t, result, c.ok, name)
	}
}
