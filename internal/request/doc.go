// Package request decides the life of an accepted request: which attempts it
// gets, how its answer is put together from their pieces, when it is given up
// and with which verdict, and who may dispatch it while daemons leave.
//
// Everything here is a plain value without locks, clocks or I/O. Methods take
// the time and an event and return actions; the caller serialises them.
package request

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("request")
