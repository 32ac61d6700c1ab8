// Package caller behaves as the callers of a deployment do: it asks which
// entries to use, keeps the answer, sends requests, follows streams to their
// end over breaks and moves, and retries where a verdict or an idempotency key
// makes that safe. It checks every answer that it reads.
package caller

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("caller")
