// Package node is the daemon that relays requests on a platform with an object
// store: it connects the packages that decide to the store, to the other daemons and
// to the listeners. Each part runs on a goroutine of its own.
package node

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("node")
