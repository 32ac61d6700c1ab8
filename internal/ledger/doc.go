// Package ledger makes non-idempotent requests run at most once, whichever
// daemon their copies arrive at. Before the single dispatch of a request, an
// intent is recorded under the request's idempotency key, by a conditional write
// in the object API. A daemon that finds another owner's intent under the key
// never dispatches.
//
// Two layouts, compared in docs/adr/0003-ledger.md, have the same purpose: PerKey
// keeps one object for each key, and GroupCommit writes batches of records into
// segments of a shard. Both are pure decision logic, without clock, goroutine or
// socket: their methods take the time and an event and return actions. Writes
// are conditional, so safety needs no lease: a write on an outdated view fails
// its condition, however long the writer was paused.
package ledger

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("ledger")

// Kind is the kind of the ledger's objects.
const Kind = "ledger"
