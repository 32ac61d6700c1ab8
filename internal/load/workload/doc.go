// Package workload describes who asks what and when: mixes of requests as
// data, seeded open-loop arrivals, and the text of each prompt. Everything is a
// function of its seed, so that two policies meet the same work.
package workload

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("workload")
