// Package lease decides which daemon may act for a shard of a control duty.
// Each shard has one lease, stored as an object in the platform's object API.
// The package is pure decision logic, without clock, goroutine or socket: the
// user passes the time, makes the calls that Set.Tick returns, and passes their
// answers back.
//
// An order is a command that a lease's holder sends, such as one to an endpoint.
//
// Safety rests on three rules. A holder counts its lease, by its own clock, from
// before it sent the write that acquired or renewed it, and checks the lease
// just before each order. Another daemon acquires a held lease only by a
// conditional write on a version that it has observed unchanged, by its own
// clock, for longer than the lease lasts; clocks of two machines are never
// compared, only their rates must agree, within Config.Margin. And each
// acquisition has a fencing number, the version that its write got, which is
// above those of all earlier holders (Gray and Cheriton, 1989, for leases;
// Burrows, 2006, for fencing numbers).
package lease

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("lease")

// Kind is the object kind of leases in the object API.
const Kind = "lease"
