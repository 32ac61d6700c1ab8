package daemon

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("daemon")

// errNotCaughtUp answers a peer that asks a daemon without templates for them.
var errNotCaughtUp = Error.New("templates not loaded here")
