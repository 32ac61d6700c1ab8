// Package report writes a self-contained HTML page of load results and of
// metrics sampled from several daemons.
package report

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("report")
