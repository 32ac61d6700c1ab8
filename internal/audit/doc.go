// Package audit is the audit trail of one stored object: the entries of its
// changes in a hash chain. The trail is part of the object's value, so that a
// change and its entry are stored by the same write and neither can exist
// without the other.
package audit

import "github.com/zeebo/errs"

// Error is the class of errors of this package.
var Error = errs.Class("audit")
