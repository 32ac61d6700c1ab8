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

// opInput is an intent, or an abandonment of one.
type opInput struct {
	key     Key
	owner   Owner
	abandon bool
}

// opResult is what came of it. The zero value is unknown: refused or never
// answered, so that it may take effect at any later time or never.
type opResult struct {
	granted bool
	denied  Owner // the owner that was found
}

// ledgerModel is the whole specification: a key has an owner or none.
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

func (w *world) record(in Intent, from, to int64, r opResult) {
	w.history = append(w.history, porcupine.Operation{
		Input: opInput{key: in.Key, owner: in.Owner}, Call: from, Output: r, Return: to,
	})
}

// unsure enters an intent without a known end, which its writer may abandon.
func (w *world) unsure(in Intent) {
	w.record(in, w.wishes[in.Owner].called, math.MaxInt64, opResult{})
	w.drop(in)
}

// drop enters the abandonment of an intent, which takes effect later or never.
func (w *world) drop(in Intent) {
	w.wishes[in.Owner].dropped = true
	w.clock++
	w.history = append(w.history, porcupine.Operation{
		Input: opInput{key: in.Key, owner: in.Owner, abandon: true}, Call: w.clock, Output: opResult{}, Return: math.MaxInt64,
	})
}

// anyGrant draws a grant, also one that was given back where dropped is set.
func (w *world) anyGrant(t *rapid.T, dropped bool) *Grant {
	var fit []*Grant
	for _, owner := range slices.Sorted(maps.Keys(w.wishes)) {
		if o := w.wishes[owner]; o.granted != nil && (dropped || !o.dropped) {
			fit = append(fit, o.granted)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return rapid.SampledFrom(fit).Draw(t, "grant")
}

// finish lets the store work, after which every owner whose writer lives must
// have its answer, and checks the history.
func (w *world) finish(t *rapid.T) {
	for range 100 {
		for range 20 {
			w.serve(t)
		}
		w.tick(t, 50*time.Millisecond)
	}
	for _, owner := range slices.Sorted(maps.Keys(w.wishes)) {
		if o := w.wishes[owner]; !o.over {
			assert.Assert(t, o.lost, "%s has no answer", owner)
			w.record(o.intent, o.called, math.MaxInt64, opResult{})
		}
	}
	model := ledgerModel.ToModel()
	assert.Assert(t, porcupine.CheckOperations(model, w.history), "history is not linearizable")
}
