// Package load runs open-loop load tests and experiments against the callers'
// API. Requests are sent at the times of a seeded schedule whether or not earlier
// ones were answered, and latencies count from the intended send time, so that a
// slow deployment can't hide its queueing (coordinated omission; Tene, 2013). A
// result holds latencies, shares within the targets, verdicts, checks of every
// answer, cost and recomputed tokens.
package load

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("load")
