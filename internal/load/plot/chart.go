package plot

import (
	"io"
	"math"
	"strings"
)

// Chart is a line chart.
type Chart struct {
	Title    string
	Subtitle string
	XLabel   string // with its unit
	YLabel   string // with its unit
	// LogY makes the vertical axis logarithmic; values at or below zero are left
	// out.
	LogY   bool
	Series []Series
	Marks  []Mark
	Events []Event
}

// Series is one line.
type Series struct {
	Name   string
	Points []Point // in the order of X
}

// Point is one value. Points whose Y is NaN or infinite are left out.
type Point struct {
	X, Y float64
}

// Mark is a horizontal line at a value such as a target.
type Mark struct {
	Y    float64
	Name string
}

// Event is a vertical line at a time such as that of a fault.
type Event struct {
	X    float64
	Name string
}

// WriteSVG writes the chart as one SVG element.
func (c *Chart) WriteSVG(w io.Writer) error {
	return Error.Wrap(svgTemplate.Execute(w, newLayout(c)))
}

// SVG returns the chart as one SVG element.
func (c *Chart) SVG() (string, error) {
	var b strings.Builder
	err := c.WriteSVG(&b)
	return b.String(), err
}

// drawable reports whether a point can be drawn on the chart's axes.
func (c *Chart) drawable(p Point) bool {
	if math.IsNaN(p.Y) || math.IsInf(p.Y, 0) {
		return false
	}
	return !c.LogY || p.Y > 0
}

// bounds returns the bounding box of points, events and marks, or false if no
// point is drawn.
func (c *Chart) bounds() (low, high Point, drawn bool) {
	low = Point{math.Inf(1), math.Inf(1)}
	high = Point{math.Inf(-1), math.Inf(-1)}
	for _, s := range c.Series {
		for _, p := range s.Points {
			if !c.drawable(p) {
				continue
			}
			drawn = true
			low = Point{min(low.X, p.X), min(low.Y, p.Y)}
			high = Point{max(high.X, p.X), max(high.Y, p.Y)}
		}
	}
	for _, e := range c.Events {
		if drawn {
			low.X, high.X = min(low.X, e.X), max(high.X, e.X)
		}
	}
	for _, m := range c.Marks {
		if drawn && c.drawable(Point{Y: m.Y}) {
			low.Y, high.Y = min(low.Y, m.Y), max(high.Y, m.Y)
		}
	}
	return low, high, drawn
}
