package plot

import (
	"fmt"
	"strconv"
	"strings"
)

// line is one series with its coordinates.
type line struct {
	Name      string
	Colour    string
	Shape     string
	Markers   []marker
	EndX      float64 // of the last point
	EndY      float64
	LabelY    float64
	path      []byte
	connected bool // the next point continues the path
}

// marker is one drawn point.
type marker struct {
	Shape  string
	X, Y   float64
	Colour string
}

// shapes of markers, in the order of the series.
var shapes = []string{"circle", "square", "diamond", "triangle"}

// shapeOf returns the marker shape of a series. The shapes shift each time the
// colours repeat, so that no two of the first 32 series look the same.
func shapeOf(series int) string {
	return shapes[(series+series/len(palette))%len(shapes)]
}

// add appends a point, or a gap for one that is not drawable.
func (l *line) add(drawable bool, x float64, y axis, v float64) {
	if !drawable {
		l.connected = false
		return
	}
	command := 'M'
	if l.connected {
		command = 'L'
	}
	py := y.pixel(v)
	l.path = fmt.Appendf(l.path, "%c%.1f %.1f", command, x, py)
	l.connected = true
	l.Markers = append(l.Markers, marker{Shape: l.Shape, X: x, Y: py, Colour: l.Colour})
	l.EndX, l.EndY, l.LabelY = x, py, py
}

// Path returns the line as SVG path data.
func (l *line) Path() string { return string(l.path) }

// maxMarkers is the number of points above which no markers are drawn, since they
// would hide the line.
const maxMarkers = 40

// Marked reports whether the line's points are drawn with markers.
func (l *line) Marked() bool { return len(l.Markers) <= maxMarkers }

// Path returns the marker's outline as SVG path data.
func (m marker) Path() string {
	const r = 4.0
	switch m.Shape {
	case "square":
		return fmt.Sprintf("M%.1f %.1fh%.0fv%.0fh-%.0fz", m.X-r, m.Y-r, 2*r, 2*r, 2*r)
	case "diamond":
		return fmt.Sprintf("M%.1f %.1fl%.0f %.0fl-%.0f %.0fl-%.0f -%.0fz", m.X, m.Y-r-1, r+1, r+1, r+1, r+1, r+1, r+1)
	case "triangle":
		return fmt.Sprintf("M%.1f %.1fl%.0f %.0fh-%.0fz", m.X, m.Y-r-1, r+1, 2*r, 2*(r+1))
	default:
		return fmt.Sprintf("M%.1f %.1fa%.0f %.0f 0 1 0 %.0f 0a%.0f %.0f 0 1 0 -%.0f 0z", m.X-r, m.Y, r, r, 2*r, r, r, 2*r)
	}
}

// formatPixel formats a coordinate with at most one decimal; more would not be
// visible.
func formatPixel(v float64) string {
	return strings.TrimSuffix(strconv.FormatFloat(v, 'f', 1, 64), ".0")
}
