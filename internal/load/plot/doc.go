// Package plot draws line charts as SVG with the standard library alone. Each
// line is told apart by colour, marker and a label at its end, so that a chart
// can be read in print and by the colour-blind.
package plot

import "github.com/zeebo/errs"

// Error is the class of errors made by this package.
var Error = errs.Class("plot")
