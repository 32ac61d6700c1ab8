// Package workload generates the requests of a load test: mixes of requests read
// from YAML, seeded open-loop arrivals, and the text of each prompt. All of it is
// a function of the seed, so that different routing policies get the same work.
package workload

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("workload")
