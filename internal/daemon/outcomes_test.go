package daemon

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
)

// A caller's order is answered 200 and it repeats the order at once, before the
// outcome is in the store. It must get the same answer, and another order under
// the same key a refusal; neither may run.
func TestRepeatBeforeTheOutcomeIsStored(t *testing.T) {
	now := time.Unix(1_000, 0)
	in := ledger.Intent{Workspace: "w", Key: ledger.Key{ID: uuid.Must(uuid.NewV7()), At: now}, Owner: "first"}
	o := newOutcomes()
	assert.Assert(t, o.answer(now, in) == nil)
	o.add(now, in, ledger.Outcome{Status: 200, Body: []byte("x")})

	again := in
	again.Owner = "second"
	deny, ok := o.answer(now.Add(time.Second), again).(ledger.Deny)
	assert.Assert(t, ok)
	assert.Equal(t, deny.Existing.Outcome.Status, 200)

	again.Digest[0] = 1
	refused, ok := o.answer(now, again).(ledger.Refuse)
	assert.Assert(t, ok)
	assert.Equal(t, refused.Reason, ledger.KeyReused)

	assert.Assert(t, o.answer(now.Add(time.Minute), in) == nil)
	for range 3 * outcomesKept {
		in.Key.ID = uuid.Must(uuid.NewV7())
		o.add(now.Add(time.Minute), in, ledger.Outcome{})
	}
	assert.Assert(t, len(o.byKey) <= outcomesKept && len(o.order) <= outcomesKept)
}
