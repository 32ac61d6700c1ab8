package load

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/cyclamenbeam/cyclamenbeam/internal/load/plot"
)

// PlotLatency draws the p95 latency of the first token over load, with a line for
// each policy, as SVG.
func PlotLatency(w io.Writer, results []*Result) error { return LatencyChart(results).WriteSVG(w) }

// PlotRecomputed draws recomputed tokens over load, with a line for each policy,
// as SVG.
func PlotRecomputed(w io.Writer, results []*Result) error {
	return RecomputedChart(results).WriteSVG(w)
}

// PlotCost draws the cost of 1,000 answers within the target over load, with a
// line for each policy, as SVG.
func PlotCost(w io.Writer, results []*Result) error { return CostChart(results).WriteSVG(w) }

// PlotGoodput draws answers within the target per second over load, with a line
// for each policy, as SVG.
func PlotGoodput(w io.Writer, results []*Result) error { return GoodputChart(results).WriteSVG(w) }

// LatencyChart returns the chart of PlotLatency.
func LatencyChart(results []*Result) *plot.Chart {
	c := chartOverLoad(results, "Latency to the first token", "p95 from the intended send time, ms", func(r *Result) (float64, bool) {
		return r.Answers.FirstToken.P95, r.Answers.FirstToken.Count > 0
	})
	c.LogY = true
	if len(results) > 0 {
		target := results[0].Targets.FirstTokenMillis
		c.Marks = []plot.Mark{{Y: target, Name: fmt.Sprintf("target %s ms", formatValue(target))}}
	}
	return c
}

// RecomputedChart returns the chart of PlotRecomputed.
func RecomputedChart(results []*Result) *plot.Chart {
	return chartOverLoad(results, "Tokens recomputed", "tokens recomputed in the run", func(r *Result) (float64, bool) {
		return float64(r.Engines.RecomputedTokens), r.Engines.Count > 0
	})
}

// CostChart returns the chart of PlotCost.
func CostChart(results []*Result) *plot.Chart {
	return chartOverLoad(results, "Cost at the latency target", "cost of 1,000 answers within target", costPerThousand)
}

// GoodputChart returns the chart of PlotGoodput.
func GoodputChart(results []*Result) *plot.Chart {
	return chartOverLoad(results, "Goodput", "answers within target, each second", known(func(r *Result) float64 { return r.Goodput }))
}

// chartOverLoad returns the chart of one figure over load. Load is the share of
// the stated capacity if all results have one, else the rate.
func chartOverLoad(results []*Result, title, yLabel string, value func(*Result) (float64, bool)) *plot.Chart {
	c := &plot.Chart{Title: title, Subtitle: subtitle(results), XLabel: "requests offered, each second", YLabel: yLabel}
	shares := len(results) > 0
	for _, r := range results {
		shares = shares && r.Settings.Load > 0
	}
	if shares {
		c.XLabel = "load, % of stated capacity"
	}
	for i, r := range results {
		v, ok := value(r)
		if !ok {
			continue
		}
		x := r.Settings.Rate
		if shares {
			x = 100 * r.Settings.Load
		}
		s := findSeries(c, seriesName(r, i))
		s.Points = append(s.Points, plot.Point{X: x, Y: v})
	}
	for i := range c.Series {
		slices.SortStableFunc(c.Series[i].Points, func(a, b plot.Point) int { return cmp.Compare(a.X, b.X) })
	}
	return c
}

func seriesName(r *Result, i int) string { return orElse(r.Policy, displayName(r, i)) }

// findSeries returns the chart's series of that name, and adds it if there is none.
func findSeries(c *plot.Chart, name string) *plot.Series {
	i := slices.IndexFunc(c.Series, func(s plot.Series) bool { return s.Name == name })
	if i < 0 {
		i = len(c.Series)
		c.Series = append(c.Series, plot.Series{Name: name})
	}
	return &c.Series[i]
}

// subtitle returns the settings that the results have in common.
func subtitle(results []*Result) string {
	if len(results) == 0 {
		return ""
	}
	s := &results[0].Settings
	return fmt.Sprintf("mix %s, seed %d, %s s a run, targets scaled by %s", s.Mix, s.Seed, formatValue(s.Seconds), formatValue(s.TargetScale))
}

// TimelineChart returns the chart of one run's requests to models over time, with
// its faults.
func TimelineChart(r *Result) *plot.Chart {
	c := &plot.Chart{
		Title: "Requests over time: " + displayName(r, 0), Subtitle: subtitle([]*Result{r}),
		XLabel: "intended send time since the start, s", YLabel: "requests, each second",
		Series: []plot.Series{{Name: "offered"}, {Name: "within target"}, {Name: "refused"}},
	}
	for _, m := range r.Timeline {
		for i, n := range []int64{m.Offered, m.Within, m.Refused} {
			c.Series[i].Points = append(c.Series[i].Points, plot.Point{X: float64(m.Second), Y: float64(n)})
		}
	}
	for _, f := range r.Faults {
		c.Events = append(c.Events, plot.Event{X: float64(f.AtMillis) / 1000, Name: f.Name})
	}
	return c
}
