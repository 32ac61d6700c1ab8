package plot

import (
	"encoding/xml"
	"io"
	"math"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func sample() *Chart {
	return &Chart{
		Title: "Latency <p95>", XLabel: "load, % of capacity", YLabel: "ms", LogY: true,
		Marks: []Mark{{Y: 450, Name: "target"}},
		Series: []Series{
			{Name: "affinity & load", Points: []Point{{30, 120}, {60, 140}, {100, 400}, {130, 2500}}},
			{Name: "round-robin", Points: []Point{{30, 120}, {60, 0}, {100, math.Inf(1)}, {130, 2500}}},
			{Name: "absent", Points: []Point{{30, math.NaN()}}},
		},
	}
}

// elements counts the drawing's elements by name and class.
func elements(t *testing.T, svg string) map[string]int {
	t.Helper()
	d := xml.NewDecoder(strings.NewReader(svg))
	count := map[string]int{}
	for {
		token, err := d.Token()
		if err == io.EOF {
			return count
		}
		assert.NilError(t, err)
		start, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		name := start.Name.Local
		for _, a := range start.Attr {
			if a.Name.Local == "class" {
				name += "." + a.Value
			}
		}
		count[name]++
	}
}

func TestChartHasItsParts(t *testing.T) {
	svg, err := sample().SVG()
	assert.NilError(t, err)
	got := elements(t, svg)
	for name, n := range map[string]int{
		"svg": 1, "text.title": 1, "text.x-label": 1, "text.y-label": 1, "g.legend": 1,
		"g.x-axis": 1, "g.y-axis": 1, "g.marks": 1, "g.series": 3, "text.label": 2,
	} {
		assert.Equal(t, got[name], n, name)
	}
	assert.Assert(t, strings.Contains(svg, "Latency &lt;p95&gt;"))
	assert.Assert(t, !strings.Contains(svg, "NaN") && !strings.Contains(svg, "Inf"))
}

func TestChartWithoutValuesShowsAMessage(t *testing.T) {
	svg, err := (&Chart{Title: "empty"}).SVG()
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(svg, "no values"))
	assert.Equal(t, elements(t, svg)["g.series"], 0)
}

func TestTicksAreRoundAndCoverTheValues(t *testing.T) {
	for _, c := range []struct {
		axis axis
		want string
	}{
		{linearAxis(0, 130, 8, 0, 1), "0 20 40 60 80 100 120 140"},
		{linearAxis(0, 0.37, 4, 0, 1), "0.0 0.1 0.2 0.3 0.4"},
		{linearAxis(-3, 11000, 4, 0, 1), "-5\u2009000 0 5\u2009000 10\u2009000 15\u2009000"},
		{linearAxis(5, 5, 2, 0, 1), "5.0 5.5 6.0"},
		{logAxis(3, 900, 0, 1), "2 5 10 20 50 100 200 500 1\u2009000"},
		{logAxis(0.2, 90000, 0, 1), "0.1 1 10 100 1\u2009000 10\u2009000 100\u2009000"},
		{logAxis(7, 7, 0, 1), "5 10"},
	} {
		var labels []string
		for _, tick := range c.axis.ticks {
			labels = append(labels, tick.Label)
		}
		assert.Equal(t, strings.Join(labels, " "), c.want)
	}
}

func TestLabelsDoNotOverlap(t *testing.T) {
	lines := make([]line, 4)
	for i, y := range []float64{98, 10, 99, 97} {
		lines[i] = line{LabelY: y, Markers: make([]marker, 1)}
	}
	spreadLabels(lines, 0, 100)
	for i := range lines {
		assert.Assert(t, lines[i].LabelY <= 100)
		for j := range i {
			assert.Assert(t, math.Abs(lines[i].LabelY-lines[j].LabelY) >= labelHeight)
		}
	}
}
