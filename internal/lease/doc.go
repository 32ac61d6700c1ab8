// Package lease decides which daemon may do a shard of a control duty, over
// one object of the platform's object API for each shard. It is a plain
// decision: no clock, goroutine or socket.
//
// Safety rests on three things. A holder counts its lease from before it sent
// the write that won it, by its own clock, and checks that clock just before
// each order. Another daemon takes a lease only by a conditional write on a
// version that it has seen unchanged for longer than the lease lasts, by its
// own clock; clocks of two machines are never compared, only their rates are
// trusted, within Config.Margin. And each acquisition has a fencing number,
// the version it got, which is above those of all holders before (Gray and
// Cheriton, 1989, for leases; Burrows, 2006, for the number).
package lease

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("lease")

// Kind is the object kind of leases in the object API.
const Kind = "lease"
