// Package audit keeps the trail of changes to one stored object. The trail is
// part of the object's value, so that a change and its entry take effect in
// one write: neither can exist without the other.
package audit

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("audit")
