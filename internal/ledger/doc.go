// Package ledger makes non-idempotent requests run at most once, whatever
// entry their copies arrive at. Before the single dispatch an intent is
// recorded in the object API by a conditional write; who finds another's
// intent never dispatches.
//
// Two layouts are here, compared in docs/adr/0003-ledger.md: PerKey, one
// object a key, and GroupCommit, batches of records in segments of a shard.
// Both are plain values: methods take the time and an event and return
// actions. Writes are conditional, so safety needs no lease: a writer whose
// view is old loses its condition, however long it was paused.
package ledger

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("ledger")

// Kind is the kind of the ledger's objects.
const Kind = "ledger"
