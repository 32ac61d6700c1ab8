// Package caller is a client of the callers' API. It requests and caches the list
// of entries, sends requests, reads streams to their end across broken
// connections and moves to other entries, and retries where a verdict or an
// idempotency key makes that safe. It checks the token offsets of every answer.
package caller

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("caller")
