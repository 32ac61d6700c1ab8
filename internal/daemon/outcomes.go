package daemon

import (
	"time"

	"github.com/google/uuid"

	"github.com/cyclamenbeam/cyclamenbeam/internal/fleet"
	"github.com/cyclamenbeam/cyclamenbeam/internal/ledger"
)

const (
	// outcomesKept bounds the outcomes remembered; each is at most some KB.
	outcomesKept = 512
	// outcomesFor is longer than an outcome waits for the ledger's next batch.
	outcomesFor = 5 * time.Second
)

// outcomes holds the answers to this daemon's own orders. An outcome waits up to half a second for
// a batch of the ledger; a caller that repeats its order in that time must not get the answer that
// the order is unknown.
type outcomes struct {
	byKey map[outcomeKey]outcome
	order []outcomeKey // oldest first
}

type outcomeKey struct {
	workspace fleet.WorkspaceID
	key       uuid.UUID
}

type outcome struct {
	record ledger.Record
	at     time.Time
}

func newOutcomes() *outcomes { return &outcomes{byKey: make(map[outcomeKey]outcome)} }

// add remembers the outcome of an intent.
func (o *outcomes) add(now time.Time, in ledger.Intent, result ledger.Outcome) {
	o.expire(now)
	k := outcomeKey{workspace: in.Workspace, key: in.Key.ID}
	if _, known := o.byKey[k]; !known {
		o.order = append(o.order, k)
	}
	r := ledger.Record{
		Key: in.Key.ID, Workspace: in.Workspace, Owner: in.Owner, Digest: in.Digest,
		State: ledger.Stored, Outcome: &result, CreatedMillis: now.UnixMilli(),
	}
	o.byKey[k] = outcome{record: r, at: now}
}

// answer returns the ledger's answer to a repeat, nil for an unknown key.
func (o *outcomes) answer(now time.Time, in ledger.Intent) ledger.Action {
	o.expire(now)
	known, ok := o.byKey[outcomeKey{workspace: in.Workspace, key: in.Key.ID}]
	switch {
	case !ok:
		return nil
	case known.record.Digest != in.Digest:
		return ledger.Refuse{Intent: in, Reason: ledger.KeyReused}
	default:
		return ledger.Deny{Intent: in, Existing: known.record}
	}
}

func (o *outcomes) expire(now time.Time) {
	n := 0
	for n < len(o.order) && (len(o.order)-n >= outcomesKept || now.Sub(o.byKey[o.order[n]].at) > outcomesFor) {
		delete(o.byKey, o.order[n])
		n++
	}
	o.order = append(o.order[:0], o.order[n:]...)
}
