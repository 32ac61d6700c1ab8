// Package plot draws line charts as SVG with the standard library alone. Lines
// differ in colour, marker and a label at their end, so that a chart is readable
// in black-and-white print and by colour-blind people.
package plot

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("plot")
