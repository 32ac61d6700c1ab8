// Package request holds the state machines of an accepted request: which
// attempts are made, how the answer is assembled from their pieces, when the
// request fails and with which verdict, and which daemon may dispatch it while
// daemons shut down and hand their requests over.
//
// Nothing here locks, reads a clock or does I/O. Methods take the time and an
// event and return the actions to take; the caller serialises the calls.
package request

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("request")
