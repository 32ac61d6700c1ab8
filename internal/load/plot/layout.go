package plot

import (
	"cmp"
	"slices"
)

// Sizes in pixels. The right margin holds the labels at the lines' ends.
const (
	width        = 820
	height       = 430
	marginLeft   = 78
	marginRight  = 190
	marginTop    = 92
	marginBottom = 58
	titleY       = 26
	subtitleY    = 46
	legendY      = 70
	legendGap    = 30
	charWidth    = 6.4 // average of the label font
	labelHeight  = 15
)

// palette is that of Okabe and Ito (2008), whose colours colour-blind people can
// distinguish, without its yellow, which is too light on white.
var palette = []string{"#0072B2", "#D55E00", "#009E73", "#CC79A7", "#E69F00", "#56B4E9", "#000000", "#7F7F7F"}

// layout is a chart with the coordinates of all its elements, for the template.
type layout struct {
	*Chart
	Width, Height            int
	Left, Right, Top, Bottom float64
	TitleY, SubtitleY        int
	XMiddle, YMiddle         float64
	XTicks, YTicks           []placedTick
	Lines                    []line
	Legend                   []legendEntry
	MarkLines                []markLine
	EventLines               []eventLine
	Empty                    bool
}

type placedTick struct {
	At    float64
	Label string
}

type legendEntry struct {
	X, Y   float64
	Name   string
	Colour string
	Marker marker
}

type markLine struct {
	Y    float64
	Name string
}

type eventLine struct {
	X    float64
	Name string
}

func newLayout(c *Chart) *layout {
	l := &layout{
		Chart: c, Width: width, Height: height, TitleY: titleY, SubtitleY: subtitleY,
		Left: marginLeft, Right: width - marginRight, Top: marginTop, Bottom: height - marginBottom,
	}
	l.XMiddle = (l.Left + l.Right) / 2
	l.YMiddle = (l.Top + l.Bottom) / 2
	low, high, drawn := c.bounds()
	if !drawn {
		l.Empty = true
		return l
	}
	x, y := l.axes(low, high)
	l.XTicks, l.YTicks = placeTicks(x), placeTicks(y)
	l.addLines(x, y)
	l.addLegend()
	for _, m := range c.Marks {
		if c.drawable(Point{Y: m.Y}) {
			l.MarkLines = append(l.MarkLines, markLine{Y: y.pixel(m.Y), Name: m.Name})
		}
	}
	for _, e := range c.Events {
		l.EventLines = append(l.EventLines, eventLine{X: x.pixel(e.X), Name: e.Name})
	}
	return l
}

// axes returns both axes. A linear vertical axis starts at zero, or below it for
// negative values, so that heights can be compared.
func (l *layout) axes(low, high Point) (x, y axis) {
	x = linearAxis(low.X, high.X, maxXTicks, l.Left, l.Right)
	if l.LogY {
		return x, logAxis(low.Y, high.Y, l.Bottom, l.Top)
	}
	return x, linearAxis(min(0, low.Y), high.Y, maxYTicks, l.Bottom, l.Top)
}

func placeTicks(a axis) []placedTick {
	placed := make([]placedTick, len(a.ticks))
	for i, t := range a.ticks {
		placed[i] = placedTick{At: a.pixel(t.At), Label: t.Label}
	}
	return placed
}

func (l *layout) addLines(x, y axis) {
	for i, s := range l.Series {
		ln := line{Name: s.Name, Colour: palette[i%len(palette)], Shape: shapeOf(i)}
		for _, p := range s.Points {
			ln.add(l.drawable(p), x.pixel(p.X), y, p.Y)
		}
		l.Lines = append(l.Lines, ln)
	}
	spreadLabels(l.Lines, l.Top, l.Bottom)
}

func (l *layout) addLegend() {
	at, row := l.Left, 0.0
	for _, ln := range l.Lines {
		w := legendGap + charWidth*float64(len(ln.Name))
		if at+w > width && at > l.Left {
			at = l.Left
			row += labelHeight
		}
		m := marker{Shape: ln.Shape, X: at, Y: legendY + row - 4, Colour: ln.Colour}
		l.Legend = append(l.Legend, legendEntry{X: at + 9, Y: legendY + row, Name: ln.Name, Colour: ln.Colour, Marker: m})
		at += w
	}
}

// spreadLabels moves the labels at the lines' ends apart where they would
// overlap, and keeps them between top and bottom.
func spreadLabels(lines []line, top, bottom float64) {
	order := make([]*line, 0, len(lines))
	for i := range lines {
		if len(lines[i].Markers) > 0 {
			order = append(order, &lines[i])
		}
	}
	slices.SortStableFunc(order, func(a, b *line) int { return cmp.Compare(a.LabelY, b.LabelY) })
	minY := top
	for _, ln := range order {
		ln.LabelY = max(ln.LabelY, minY)
		minY = ln.LabelY + labelHeight
	}
	maxY := bottom
	for _, ln := range slices.Backward(order) {
		ln.LabelY = min(ln.LabelY, maxY)
		maxY = ln.LabelY - labelHeight
	}
}
