package ledger

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// opInput is the input of an operation: an intent, or its abandonment.
type opInput struct {
	key     Key
	owner   Owner
	abandon bool
}

// opResult is the result of an operation. The zero value is an unknown one: the
// intent was refused or never answered, and may take effect at any later time or
// never.
type opResult struct {
	granted bool
	denied  Owner // the recorded owner
}

// ledgerModel is the specification: a key has an owner or none. A step returns the
// states in which the operation may leave the key, none if its result is wrong.
var ledgerModel = porcupine.NondeterministicModel{
	Init:      func() []any { return []any{Owner("")} },
	Partition: byKey,
	Step: func(state, input, output any) []any {
		owner, in, out := state.(Owner), input.(opInput), output.(opResult)
		switch {
		case in.abandon && owner == in.owner:
			return []any{owner, Owner("")}
		case in.abandon:
			return []any{owner}
		case out.granted && owner == "":
			return []any{in.owner}
		case out.granted:
			return nil
		case out.denied != "" && owner == out.denied:
			return []any{owner}
		case out.denied != "":
			return nil
		case owner == "":
			return []any{owner, in.owner}
		}
		return []any{owner}
	},
}

func byKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[Key][]porcupine.Operation{}
	for _, op := range history {
		k := op.Input.(opInput).key
		parts[k] = append(parts[k], op)
	}
	return slices.Collect(maps.Values(parts))
}

func (h *harness) recordOperation(in Intent, from, to int64, r opResult) {
	h.history = append(h.history, porcupine.Operation{
		Input: opInput{key: in.Key, owner: in.Owner}, Call: from, Output: r, Return: to,
	})
}

// recordUnknown records an intent without a known result, which its writer may
// abandon.
func (h *harness) recordUnknown(in Intent) {
	h.recordOperation(in, h.intents[in.Owner].calledAt, math.MaxInt64, opResult{})
	h.abandon(in)
}

// abandon records the abandonment of an intent, which takes effect later or never.
func (h *harness) abandon(in Intent) {
	h.intents[in.Owner].abandoned = true
	h.clock++
	h.history = append(h.history, porcupine.Operation{
		Input: opInput{key: in.Key, owner: in.Owner, abandon: true}, Call: h.clock, Output: opResult{}, Return: math.MaxInt64,
	})
}

// drawGrant draws a grant, nil if there is none. withAbandoned includes those that
// were abandoned.
func (h *harness) drawGrant(t *rapid.T, withAbandoned bool) *Grant {
	var candidates []*Grant
	for _, owner := range slices.Sorted(maps.Keys(h.intents)) {
		if o := h.intents[owner]; o.granted != nil && (withAbandoned || !o.abandoned) {
			candidates = append(candidates, o.granted)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return rapid.SampledFrom(candidates).Draw(t, "grant")
}

// finish completes all calls, after which every owner whose writer hasn't crashed
// must have its answer, and checks the history.
func (h *harness) finish(t *rapid.T) {
	for range 100 {
		for range 20 {
			h.completeCalls(t)
		}
		h.tick(t, 50*time.Millisecond)
	}
	for _, owner := range slices.Sorted(maps.Keys(h.intents)) {
		if o := h.intents[owner]; !o.answered {
			assert.Assert(t, o.writerCrashed, "%s has no answer", owner)
			h.recordOperation(o.intent, o.calledAt, math.MaxInt64, opResult{})
		}
	}
	model := ledgerModel.ToModel()
	assert.Assert(t, porcupine.CheckOperations(model, h.history), "history is not linearizable")
}
