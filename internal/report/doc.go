// Package report writes one HTML page, which needs nothing beside itself, from
// load results and from metrics that were read from several daemons.
package report

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("report")
